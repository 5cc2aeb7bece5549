#ifndef TREFOILBEND_CALLERS_BODY_BUDGET_H_
#define TREFOILBEND_CALLERS_BODY_BUDGET_H_

#include <atomic>
#include <cstdint>
#include <memory>

namespace trefoilbend::callers {

/** @brief Memory that the body of one request takes of a budget, until the
 * lease is destroyed, on any thread. */
class BodyLease {
 public:
  /**
   * @brief Takes nothing yet.
   * @param held Bytes that all leases of a budget hold.
   * @param most Greatest number of bytes that they may hold.
   */
  BodyLease(std::shared_ptr<std::atomic<std::uint64_t>> held,
            std::uint64_t most);
  ~BodyLease();

  BodyLease(const BodyLease&) = delete;
  BodyLease& operator=(const BodyLease&) = delete;

  /**
   * @brief Sees that the lease holds enough.
   * @param bytes Bytes that the body takes; fewer than before change nothing.
   * @return Whether there is room for them.
   */
  [[nodiscard]] bool Hold(std::uint64_t bytes) noexcept;

 private:
  std::shared_ptr<std::atomic<std::uint64_t>> held;
  std::uint64_t most;
  std::uint64_t own{};
};

/**
 * @brief Bounds the memory that the bodies of all requests take together.
 *
 * The bound of one body doesn't bound an entry's memory: many callers may send
 * long bodies at the same time. A part of the budget is left to short ones.
 */
class BodyBudget {
 public:
  /**
   * @brief Makes the budget.
   * @param most Greatest number of bytes of all bodies together.
   */
  explicit BodyBudget(const std::uint64_t most) : most(most) {}

  /** @return Lease for one body, which may outlive the budget. */
  [[nodiscard]] std::shared_ptr<BodyLease> Lease() const;

  /** @return Bytes that all bodies take now. */
  [[nodiscard]] std::uint64_t Held() const noexcept { return *this->held; }

 private:
  std::uint64_t most;
  std::shared_ptr<std::atomic<std::uint64_t>> held =
      std::make_shared<std::atomic<std::uint64_t>>();
};

}  // namespace trefoilbend::callers

#endif  // TREFOILBEND_CALLERS_BODY_BUDGET_H_
