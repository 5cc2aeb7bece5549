#include "trefoilbend/registry/change_lines.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>
#include <string_view>

namespace trefoilbend::registry {

namespace {

using inventory::Instance;
using inventory::Outage;
using inventory::Release;

std::string_view TextOf(const inventory::ReleaseState state) noexcept {
  static constexpr std::array<std::string_view, 4> kTexts{"moving", "paused",
                                                          "taken-back", "done"};
  return kTexts.at(static_cast<std::size_t>(state));
}

std::string NameOf(const Instance& instance) {
  return fmt::format(
      "{}={} address={} data_centre={} service={} version={}",
      instance.role == inventory::Role::kEntry ? "entry" : "target",
      instance.name.Text(), http::ToString(instance.address),
      instance.data_centre.Text(), instance.service.Text(),
      instance.version.Text());
}

const char* FormatStep(const Instance* before, const Instance* after) noexcept {
  if (before == nullptr) {
    return "Instance joined.";
  }
  return after == nullptr ? "Instance left." : "Instance changed.";
}

std::string NamesOf(const std::vector<core::VersionName>& versions) {
  std::string names;
  for (const core::VersionName& version : versions) {
    names += (names.empty() ? "" : ",") + version.Text();
  }
  return names;
}

std::optional<std::string> FormatStep(const inventory::Object* before,
                                      const inventory::Object* after) {
  const inventory::Object* one = after != nullptr ? after : before;
  if (one == nullptr) {
    return std::nullopt;
  }
  if (const auto* instance = std::get_if<Instance>(one)) {
    const auto* old =
        before == nullptr ? nullptr : std::get_if<Instance>(before);
    const auto* fresh = after == nullptr ? nullptr : instance;
    return fmt::format("{} {}", FormatStep(old, fresh), NameOf(*instance));
  }
  if (const auto* outage = std::get_if<Outage>(one)) {
    return fmt::format("Data centre is {}. data_centre={}",
                       after != nullptr ? "out" : "in again",
                       outage->name.Text());
  }
  if (const auto* release = std::get_if<Release>(one)) {
    return fmt::format(
        "Release stands. service={} version={} from={} state={} share={} "
        "step={} epoch={} withdrawn={}",
        release->name.Text(), release->version.Text(), release->from.Text(),
        after != nullptr ? TextOf(release->state) : "forgotten", release->share,
        release->step, release->epoch, NamesOf(release->withdrawn));
  }
  return std::nullopt;
}

core::TimePoint ColdUntil(const configuration::Update& update,
                          const core::InstanceName& name) {
  if (update.listed == nullptr) {
    return {};
  }
  const auto found = std::find_if(
      update.listed->begin(), update.listed->end(),
      [&](const platform::ListedInstance& one) { return one.name == name; });
  return found == update.listed->end() ? core::TimePoint{} : found->cold_until;
}

}  // namespace

std::vector<std::string> ChangeLines(const configuration::Update& before,
                                     const configuration::Update& after,
                                     const core::TimePoint now,
                                     const std::size_t most) {
  static const std::map<inventory::ObjectKey, inventory::Object> kNone;
  const auto& old =
      before.configuration == nullptr ? kNone : before.configuration->Objects();
  const auto& fresh = after.configuration->Objects();
  std::vector<std::string> lines;
  const auto add = [&](const inventory::Object* from,
                       const inventory::Object* to) {
    if (auto line = FormatStep(from, to)) {
      lines.push_back(
          *line +
          fmt::format(" revision={}", after.configuration->Revision().Value()));
    }
  };
  for (const auto& [key, object] : fresh) {
    const auto known = old.find(key);
    if (known == old.end()) {
      add(nullptr, &object);
    } else if (known->second != object) {
      add(&known->second, &object);
    }
  }
  for (const auto& [key, object] : old) {
    if (!fresh.contains(key)) {
      add(&object, nullptr);
    }
  }
  for (const platform::ListedInstance& one : *after.listed) {
    if (one.cold_until > now && one.cold_until != ColdUntil(before, one.name)) {
      lines.push_back(fmt::format(
          "Target is cold. target={} left_ms={}", one.name.Text(),
          std::chrono::duration_cast<std::chrono::milliseconds>(one.cold_until -
                                                                now)
              .count()));
    }
  }
  if (lines.size() > most) {
    const std::size_t left_out = lines.size() - most + 1;
    lines.resize(most - 1);
    lines.push_back(fmt::format("Further changes. count={}", left_out));
  }
  return lines;
}

}  // namespace trefoilbend::registry
