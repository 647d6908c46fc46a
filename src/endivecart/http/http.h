#ifndef ENDIVECART_HTTP_HTTP_H_
#define ENDIVECART_HTTP_HTTP_H_

// Public header of the http library: a thin layer over POCO Net.

#include "endivecart/http/client.h"  // IWYU pragma: export
#include "endivecart/http/server.h"  // IWYU pragma: export

#endif  // ENDIVECART_HTTP_HTTP_H_
