#include "trefoilbend/callers/body_budget.h"

#include <utility>

namespace trefoilbend::callers {

namespace {

/** Bytes beyond which a body is long. */
constexpr std::uint64_t kShortBody = 64U << 10U;
/** One part in so many of the budget is kept for short bodies, so that a few
 * long ones don't turn all other callers away. */
constexpr std::uint64_t kPartsOfBudget = 8;

}  // namespace

BodyLease::BodyLease(std::shared_ptr<std::atomic<std::uint64_t>> held,
                     const std::uint64_t most)
    : held(std::move(held)), most(most) {}

BodyLease::~BodyLease() { *this->held -= this->own; }

bool BodyLease::Hold(const std::uint64_t bytes) noexcept {
  if (bytes <= this->own) {
    return true;
  }
  const std::uint64_t more = bytes - this->own;
  const std::uint64_t room = bytes > kShortBody
                                 ? this->most - this->most / kPartsOfBudget
                                 : this->most;
  const std::uint64_t before = this->held->fetch_add(more);
  if (before > room || more > room - before) {
    *this->held -= more;
    return false;
  }
  this->own = bytes;
  return true;
}

std::shared_ptr<BodyLease> BodyBudget::Lease() const {
  return std::make_shared<BodyLease>(this->held, this->most);
}

}  // namespace trefoilbend::callers
