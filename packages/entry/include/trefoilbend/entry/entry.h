#ifndef TREFOILBEND_ENTRY_ENTRY_H_
#define TREFOILBEND_ENTRY_ENTRY_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "trefoilbend/core/outcome.h"
#include "trefoilbend/entry/settings.h"

namespace trefoilbend::entry {

/** @brief All duties of an entry, joined by their rings. */
class Entry {
 public:
  /** @brief Assembles an entry. */
  class Builder;

  ~Entry();

  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  /**
   * @brief Starts all duties.
   * @return Nothing, or the reason why an address cannot be used.
   */
  [[nodiscard]] core::Outcome<std::monostate, std::string> Start();

  /**
   * @brief Begins a graceful stop.
   * @param done Called once from another thread when no call is in progress any
   * more.
   */
  void Drain(std::function<void()> done);

 private:
  struct Duties;

  explicit Entry(const Settings& settings);

  void FollowConfiguration();

  std::unique_ptr<Duties> duties;
};

/** @brief Assembles an entry. */
class Entry::Builder {
 public:
  /**
   * @brief Sets the settings.
   * @param settings Checked settings.
   * @return This builder.
   */
  Builder& WithSettings(Settings settings) {
    this->settings = std::move(settings);
    return *this;
  }

  /** @return The entry, which does not run yet. */
  [[nodiscard]] std::unique_ptr<Entry> Build();

 private:
  Settings settings;
};

}  // namespace trefoilbend::entry

#endif  // TREFOILBEND_ENTRY_ENTRY_H_
