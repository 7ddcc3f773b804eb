#ifndef FIRMOOR_BASE_ERROR_H_
#define FIRMOOR_BASE_ERROR_H_

#include <boost/leaf.hpp>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

#include "base/result_code.h"

namespace firmoor {

/// A result code with a human-readable message.
struct Error {
  ResultCode code = ResultCode::kInternal;
  std::string message;

  bool operator==(const Error&) const = default;
};

/// The value of an operation, or an error carried by Boost.LEAF.
template <typename T>
using Result = boost::leaf::result<T>;

/// Creates an error result: `return Fail(ResultCode::kInvalidPatch, "...");`
inline boost::leaf::error_id Fail(ResultCode code, std::string message) {
  return boost::leaf::new_error(Error{code, std::move(message)});
}

/// Either the value or the error of an operation, for callers that store it.
template <typename T>
using Outcome = std::variant<T, Error>;

/// Runs `operation`, which returns `Result<T>`, and converts its error to a
/// value.
///
///     auto outcome = Capture([&] { return ParseSettings(text); });
///     if (auto* error = std::get_if<Error>(&outcome)) { ... }
template <typename Operation>
auto Capture(Operation operation) {
  using Value = std::decay_t<
      decltype(std::declval<std::invoke_result_t<Operation>&>().value())>;
  using Out = Outcome<Value>;
  return boost::leaf::try_handle_all(
      [&]() -> Result<Out> {
        BOOST_LEAF_AUTO(value, operation());
        return Out(std::move(value));
      },
      [](const Error& error) { return Out(error); },
      [] {
        return Out(Error{ResultCode::kInternal, "unknown failure"});
      });
}

}  // namespace firmoor

#endif  // FIRMOOR_BASE_ERROR_H_
