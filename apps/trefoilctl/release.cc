#include "release.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <sstream>
#include <thread>

#include "trefoilbend/settings/wall_time.h"

namespace trefoilbend::ctl {

namespace {

using nlohmann::json;
using std::chrono::seconds;
using std::chrono::sys_seconds;

constexpr int kTakeBackAttempts = 20;
constexpr std::chrono::milliseconds kTakeBackPause{250};
constexpr std::size_t kPictureWidth = 20;
constexpr std::uint32_t kWholeShare = 1'000;

sys_seconds Now() {
  return std::chrono::floor<seconds>(std::chrono::system_clock::now());
}

/** A time such as 2026-12-04T18:00:00Z, or a wait such as 45m. */
std::optional<sys_seconds> ParseDeadline(const std::string& text) {
  if (const auto time = settings::ParseWallTime(text)) {
    return time;
  }
  std::int64_t count = 0;
  char unit = 0;
  std::istringstream wait{text};
  if (!(wait >> count >> unit) || count <= 0 || wait.peek() != EOF) {
    return std::nullopt;
  }
  switch (unit) {
    case 's':
      return Now() + seconds{count};
    case 'm':
      return Now() + std::chrono::minutes{count};
    case 'h':
      return Now() + std::chrono::hours{count};
    default:
      return std::nullopt;
  }
}

std::string Picture(const std::uint32_t share) {
  const std::size_t full =
      std::min<std::size_t>(kPictureWidth, share * kPictureWidth / kWholeShare);
  return '[' + std::string(full, '#') + std::string(kPictureWidth - full, '.') +
         ']';
}

void PrintRelease(const json& release) {
  const auto share = release.value("share", std::uint32_t{0});
  const sys_seconds deadline{
      seconds{release.value("deadline_s", std::int64_t{0})}};
  std::printf("%s to version %s: %s, step %u %s %.1f%%, %lld s left\n",
              release.value("name", "").c_str(),
              release.value("version", "").c_str(),
              release.value("state", "").c_str(), release.value("step", 0U),
              Picture(share).c_str(), share / 10.0,
              static_cast<long long>((deadline - Now()).count()));
}

}  // namespace

ReleaseCommands::ReleaseCommands(CLI::App& app, const AddOptions& add_common,
                                 const AddOptions& add_change)
    : release(app.add_subcommand(
          "release", "Moves a service's traffic to a new version")) {
  this->release->require_subcommand(1);
  CLI::App* begin = this->release->add_subcommand("begin", "Begins a release");
  begin->add_option("service", this->service, "Name of the service")
      ->required();
  begin->add_option("version", this->version, "New version")->required();
  begin
      ->add_option("--by", this->by,
                   "Time by which it carries all traffic, such as "
                   "2026-12-04T18:00:00Z or 45m")
      ->required()
      ->check([](const std::string& text) {
        return ParseDeadline(text)
                   ? ""
                   : "expected a time such as 2026-12-04T18:00:00Z or 45m";
      });
  add_change(begin);
  for (const auto& [name, help] :
       {std::pair{"pause", "Holds a release at its step"},
        std::pair{"resume", "Lets a paused release go on"},
        std::pair{"take-back", "Moves all traffic back to the old version"}}) {
    CLI::App* command = this->release->add_subcommand(name, help);
    command->add_option("service", this->service, "Name of the service")
        ->required();
    add_change(command);
  }
  add_common(this->release->add_subcommand("status", "Shows the releases"));
}

ExitCode ReleaseCommands::Run(const Common& common,
                              const ChangeOptions& change) const {
  const std::string action =
      this->release->get_subcommands().front()->get_name();
  if (action == "status") {
    return ShowReleases(common);
  }
  ExitCode result = this->Send(common, change, action);
  for (int attempt = 1;
       action == "take-back" && result == kClash && attempt < kTakeBackAttempts;
       ++attempt) {
    std::this_thread::sleep_for(kTakeBackPause);
    result = this->Send(common, change, action);
  }
  return result;
}

ExitCode ReleaseCommands::Send(const Common& common,
                               const ChangeOptions& change,
                               const std::string& action) const {
  json body{{"action", action}, {"service", this->service}};
  if (action == "begin") {
    body["version"] = this->version;
    body["deadline_s"] = ParseDeadline(this->by)->time_since_epoch().count();
  }
  return Change(common, "/v1/release", std::move(body), change);
}

ExitCode ShowReleases(const Common& common) {
  const auto reply = Get(common, "/v1/configuration");
  if (!reply || !reply->body.is_object()) {
    return kRefused;
  }
  json releases = json::array();
  for (const json& object : reply->body.at("objects")) {
    if (object.value("kind", "") == "release") {
      releases.push_back(object);
    }
  }
  if (common.json) {
    std::printf("%s\n", releases.dump(2).c_str());
    return kDone;
  }
  std::for_each(releases.begin(), releases.end(), PrintRelease);
  return kDone;
}

}  // namespace trefoilbend::ctl
