#ifndef TREFOILBEND_CORE_OUTCOME_H_
#define TREFOILBEND_CORE_OUTCOME_H_

#include <utility>
#include <variant>

namespace trefoilbend::core {

/**
 * @brief Result of an operation that may fail: its value or the problem.
 * @tparam Value Type of a success.
 * @tparam Problem Type of a failure.
 */
template <typename Value, typename Problem>
using Outcome = std::variant<Value, Problem>;

/**
 * @brief Tells whether an outcome holds a value.
 * @param outcome Outcome to look at.
 * @return True for a value, false for a problem.
 */
template <typename Value, typename Problem>
[[nodiscard]] bool Succeeded(const Outcome<Value, Problem>& outcome) noexcept {
  return outcome.index() == 0;
}

/**
 * @brief Returns the value of an outcome that succeeded.
 * @param outcome Outcome that holds a value.
 * @return The value.
 */
template <typename Value, typename Problem>
[[nodiscard]] const Value& ValueOf(const Outcome<Value, Problem>& outcome) {
  return std::get<0>(outcome);
}

/** @copydoc ValueOf */
template <typename Value, typename Problem>
[[nodiscard]] Value ValueOf(Outcome<Value, Problem>&& outcome) {
  return std::get<0>(std::move(outcome));
}

/**
 * @brief Returns the problem of an outcome that failed.
 * @param outcome Outcome that holds a problem.
 * @return The problem.
 */
template <typename Value, typename Problem>
[[nodiscard]] const Problem& ProblemOf(const Outcome<Value, Problem>& outcome) {
  return std::get<1>(outcome);
}

/**
 * @brief Joins function objects into one visitor for a variant.
 * @tparam Handlers Types of the function objects.
 */
template <typename... Handlers>
struct Visitor : Handlers... {
  using Handlers::operator()...;
};

template <typename... Handlers>
Visitor(Handlers...) -> Visitor<Handlers...>;

}  // namespace trefoilbend::core

#endif  // TREFOILBEND_CORE_OUTCOME_H_
