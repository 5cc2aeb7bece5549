#include "trefoilbend/rollout/apply_files.h"

#include <algorithm>
#include <utility>

#include "trefoilbend/inventory/files.h"
#include "trefoilbend/rollout/release_command.h"
#include "trefoilbend/rollout/release_id.h"

namespace trefoilbend::rollout {

namespace {

using inventory::Configuration;
using inventory::Release;
using inventory::ReleaseRule;
using inventory::ReleaseState;
using Changes = std::vector<inventory::Change>;

bool HasTarget(const inventory::ServiceView& view,
               const core::VersionName& version) {
  return std::any_of(view.targets.begin(), view.targets.end(),
                     [&](const inventory::Instance* target) {
                       return target->version == version;
                     });
}

class Preparation {
 public:
  Preparation(const Configuration& configuration, const Configuration& files,
              const std::chrono::sys_seconds now)
      : configuration(configuration), files(files), now(now) {}

  core::Outcome<Changes, std::vector<std::string>> Run() {
    Configuration::Builder wanted{this->files};
    for (const auto& [name, view] : this->files.Services()) {
      inventory::Service service = *view.service;
      service.version = this->VersionOf(view);
      wanted.Put(std::move(service));
    }
    const inventory::ConfigurationPtr after = wanted.Build();
    this->changes =
        Difference(this->configuration, *after, inventory::FileKinds());
    const inventory::ConfigurationPtr applied =
        Configuration::Builder{this->configuration}
            .Apply({.revision = this->configuration.Revision(),
                    .change_id = {},
                    .who = {},
                    .why = {},
                    .at = {},
                    .by = {},
                    .changes = this->changes})
            .Build();
    for (const auto& [name, view] : this->files.Services()) {
      const auto* rule = this->files.Find<ReleaseRule>(name.Text());
      const auto* known = this->configuration.Find<ReleaseRule>(name.Text());
      if (rule != nullptr && (known == nullptr || *known != *rule)) {
        this->Follow(*rule, *applied);
      }
    }
    if (!this->mistakes.empty()) {
      return std::move(this->mistakes);
    }
    return std::move(this->changes);
  }

 private:
  /** Version that carries a service's traffic after the change. */
  core::VersionName VersionOf(const inventory::ServiceView& view) {
    const std::string& name = view.service->name.Text();
    const core::VersionName& said = view.service->version;
    const auto* service = this->configuration.Find<inventory::Service>(name);
    if (service == nullptr || service->version == said) {
      return said;
    }
    const auto* release = this->configuration.Find<Release>(name);
    const bool is_stale =
        release != nullptr && release->state == ReleaseState::kDone &&
        release->version == service->version && release->from == said;
    if (is_stale) {
      return service->version;
    }
    const bool moves = release != nullptr && IsUnderWay(*release);
    if (!moves && !HasTarget(view, service->version)) {
      return said;
    }
    this->mistakes.push_back(
        "section [service " + name + "], key version: version " +
        service->version.Text() + " carries the traffic; write version = " +
        service->version.Text() + ", and move the traffic to version " +
        said.Text() + " by a section [release " + name + "] of the rules");
    return service->version;
  }

  void Follow(const ReleaseRule& rule, const Configuration& applied) {
    const auto* release = this->configuration.Find<Release>(rule.name.Text());
    if (release != nullptr && IsUnderWay(*release) &&
        release->version == rule.version) {
      this->SetDeadline(*release, rule);
      return;
    }
    if (applied.Find<inventory::Service>(rule.name.Text())->version ==
        rule.version) {
      return;
    }
    const auto begun = PrepareCommand(applied,
                                      {.action = "begin",
                                       .service = rule.name,
                                       .version = rule.version,
                                       .deadline = rule.deadline},
                                      this->now);
    if (!core::Succeeded(begun)) {
      this->Refuse(rule, core::ProblemOf(begun));
      return;
    }
    const Changes& begin = core::ValueOf(begun);
    this->changes.insert(this->changes.end(), begin.begin(), begin.end());
  }

  void SetDeadline(const Release& release, const ReleaseRule& rule) {
    if (rule.deadline <= this->now) {
      this->Refuse(rule, "the time has passed already");
      return;
    }
    Release after = release;
    after.deadline = rule.deadline;
    if (after != release) {
      this->changes.push_back({.before = release, .after = after});
    }
  }

  void Refuse(const ReleaseRule& rule, const std::string& why) {
    this->mistakes.push_back("section [release " + rule.name.Text() +
                             "]: " + why);
  }

  const Configuration& configuration;
  const Configuration& files;
  std::chrono::sys_seconds now;
  Changes changes;
  std::vector<std::string> mistakes;
};

}  // namespace

core::Outcome<Changes, std::vector<std::string>> PrepareApply(
    const Configuration& configuration, const Configuration& files,
    const std::chrono::sys_seconds now) {
  return Preparation{configuration, files, now}.Run();
}

}  // namespace trefoilbend::rollout
