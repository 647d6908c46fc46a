#ifndef ENDIVECART_ROUTING_ROUTING_H_
#define ENDIVECART_ROUTING_ROUTING_H_

// Public header of the routing library: the choice of an upstream for a
// request, circuit breakers and retry budgets.

#include "endivecart/routing/breaker.h"         // IWYU pragma: export
#include "endivecart/routing/decide.h"          // IWYU pragma: export
#include "endivecart/routing/retry_budget.h"    // IWYU pragma: export
#include "endivecart/routing/routing_values.h"  // IWYU pragma: export

#endif  // ENDIVECART_ROUTING_ROUTING_H_
