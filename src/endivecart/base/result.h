#ifndef ENDIVECART_BASE_RESULT_H_
#define ENDIVECART_BASE_RESULT_H_

#include <tl/expected.hpp>

namespace endivecart {

// A value, or an error of the called layer.
template <class T, class E>
using Result = tl::expected<T, E>;

// Returns `error` for use as a failed Result.
template <class E>
auto Fail(E error) {
  return tl::unexpected<E>(std::move(error));
}

}  // namespace endivecart

#endif  // ENDIVECART_BASE_RESULT_H_
