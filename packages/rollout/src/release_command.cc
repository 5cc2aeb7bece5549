#include "trefoilbend/rollout/release_command.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "trefoilbend/rollout/release_id.h"

namespace trefoilbend::rollout {

namespace {

using inventory::Release;
using inventory::ReleaseState;
using Changes = std::vector<inventory::Change>;
using Prepared = core::Outcome<Changes, std::string>;

/** A command with what it is about. */
struct Request {
  const inventory::Configuration& configuration;
  const ReleaseCommand& command;
  std::chrono::sys_seconds now;
  const Release* release;
};

Prepared Replace(const Request& request, const Release& after) {
  if (request.release != nullptr && *request.release == after) {
    return Changes{};
  }
  inventory::Change change{.before = std::nullopt, .after = after};
  if (request.release != nullptr) {
    change.before = *request.release;
  }
  return Changes{std::move(change)};
}

Prepared Begin(const Request& request) {
  const ReleaseCommand& command = request.command;
  const auto service = request.configuration.Services().find(command.service);
  if (service == request.configuration.Services().end()) {
    return "no service is named '" + command.service.Text() + "'";
  }
  if (request.release != nullptr && IsUnderWay(*request.release)) {
    return "a release to version " + request.release->version.Text() +
           " is under way; take it back first";
  }
  if (command.version == service->second.service->version) {
    return "version " + command.version.Text() + " carries the traffic already";
  }
  const auto& targets = service->second.targets;
  const bool has_target = std::any_of(
      targets.begin(), targets.end(), [&](const inventory::Instance* target) {
        return target->version == command.version;
      });
  if (!has_target) {
    return "the asset register has no target of version " +
           command.version.Text();
  }
  if (command.deadline <= request.now) {
    return "the time has passed already";
  }
  return Replace(request, {.name = command.service,
                           .version = command.version,
                           .from = service->second.service->version,
                           .begun = request.now,
                           .deadline = command.deadline});
}

Prepared SetState(const Request& request, const ReleaseState state) {
  Release after = *request.release;
  after.state = state;
  after.share = state == ReleaseState::kTakenBack ? 0 : after.share;
  return Replace(request, after);
}

Prepared Pause(const Request& request) {
  return SetState(request, ReleaseState::kPaused);
}

Prepared Resume(const Request& request) {
  return SetState(request, ReleaseState::kMoving);
}

Prepared TakeBack(const Request& request) {
  return SetState(request, ReleaseState::kTakenBack);
}

struct Action {
  const char* name;
  bool needs_release;
  Prepared (*prepare)(const Request&);
};

constexpr std::array<Action, 4> kActions{{{"begin", false, Begin},
                                          {"pause", true, Pause},
                                          {"resume", true, Resume},
                                          {"take-back", true, TakeBack}}};

}  // namespace

std::vector<std::string> ReleaseActions() {
  std::vector<std::string> names;
  names.reserve(kActions.size());
  for (const Action& action : kActions) {
    names.emplace_back(action.name);
  }
  return names;
}

core::Outcome<std::vector<inventory::Change>, std::string> PrepareCommand(
    const inventory::Configuration& configuration,
    const ReleaseCommand& command, const std::chrono::sys_seconds now) {
  const auto* const action = std::find_if(
      kActions.begin(), kActions.end(),
      [&](const Action& one) { return command.action == one.name; });
  if (action == kActions.end()) {
    return "no such action: '" + command.action + "'";
  }
  const Request request{
      .configuration = configuration,
      .command = command,
      .now = now,
      .release = configuration.Find<Release>(command.service.Text())};
  if (action->needs_release &&
      (request.release == nullptr || !IsUnderWay(*request.release))) {
    return "no release of '" + command.service.Text() + "' is under way";
  }
  return action->prepare(request);
}

}  // namespace trefoilbend::rollout
