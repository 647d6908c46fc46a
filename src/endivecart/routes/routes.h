#ifndef ENDIVECART_ROUTES_ROUTES_H_
#define ENDIVECART_ROUTES_ROUTES_H_

// Public header of the routes library, which maps requests to services and
// customers.

#include "endivecart/routes/route_table.h"            // IWYU pragma: export
#include "endivecart/routes/routing_configuration.h"  // IWYU pragma: export

#endif  // ENDIVECART_ROUTES_ROUTES_H_
