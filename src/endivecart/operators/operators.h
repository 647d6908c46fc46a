#ifndef ENDIVECART_OPERATORS_OPERATORS_H_
#define ENDIVECART_OPERATORS_OPERATORS_H_

// Public header of the operators library: the HTTP API for operators.

#include "endivecart/operators/operator_server.h"  // IWYU pragma: export
#include "endivecart/operators/operator_values.h"  // IWYU pragma: export

#endif  // ENDIVECART_OPERATORS_OPERATORS_H_
