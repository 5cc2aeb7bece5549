#include "soak/runner.h"

#include <algorithm>
#include <boost/filesystem.hpp>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

namespace trefoilbend::soak {

namespace {

using nlohmann::json;
using tests::Fleet;

/** Bound of the proofs page for a change to be in force on live entries. */
constexpr std::chrono::seconds kInForce{9};
/** Bound of the proofs page for work to leave what has gone. */
constexpr std::chrono::seconds kRecovery{5};
constexpr std::chrono::seconds kGracefulStop{40};

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kClash = 409;
constexpr std::uint16_t kServerError = 500;

/** Token of the first operator of a fleet. */
constexpr const char* kToken = "Bearer token-of-the-test-operator";

std::string NumberedName(const char* prefix, const std::size_t number) {
  return prefix + std::to_string(number);
}

std::string ReadFile(const std::string& path) {
  std::ifstream in{path};
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

std::string Seconds(const std::chrono::milliseconds time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::seconds>(time).count());
}

}  // namespace

Runner::Runner(Fleet& fleet, const PlanOptions& options)
    : fleet(fleet), options(options), plan(DrawPlan(options)) {}

void Runner::Run() {
  const auto drivers = this->StartCallers();
  const auto start = std::chrono::steady_clock::now();
  for (const Event& event : this->Timeline()) {
    std::this_thread::sleep_until(start + event.at);
    if (event.begins) {
      this->Begin(*event.disturbance);
    } else {
      this->End(*event.disturbance);
    }
  }
  const auto quiet = std::chrono::steady_clock::now();
  for (const auto& driver : drivers) {
    this->AddReport(driver->Report());
  }
  this->SettleChanges();
  std::this_thread::sleep_until(quiet + kRecovery);
  this->AwaitRecovery();
  this->CheckProcesses();
  for (std::size_t i = 1; i <= this->options.targets; ++i) {
    this->CollectRuns(NumberedName("stock-", i));
  }
}

std::vector<std::unique_ptr<tests::Driver>> Runner::StartCallers() const {
  const std::vector<std::vector<std::string>> mixes{
      {"--name", "mixed", "--callers", "16", "--rate", "200",
       "--reserve-percent", "20", "--sheet-percent", "5", "--urgent-percent",
       "20"},
      {"--name", "repeated", "--callers", "8", "--rate", "50",
       "--reserve-percent", "100", "--attempts", "6"},
      {"--name", "own-keys", "--callers", "8", "--rate", "20",
       "--reserve-percent", "100", "--attempts", "6", "--own-keys"}};
  std::vector<std::unique_ptr<tests::Driver>> drivers;
  for (std::vector<std::string> arguments : mixes) {
    arguments.insert(arguments.end(),
                     {"--seconds", Seconds(this->options.duration), "--seed",
                      std::to_string(this->options.seed), "--list-not-run"});
    drivers.push_back(this->fleet.Drive(arguments));
  }
  return drivers;
}

void Runner::AddReport(const json& report) {
  this->judge.AddCallers(report);
  if (!report.is_object()) {
    return;
  }
  for (const char* outcome :
       {"answered", "not_run", "unknown", "broken", "failed", "wrong"}) {
    this->callers[outcome] =
        this->callers.value(outcome, 0) + report.value(outcome, 0);
  }
}

std::vector<Runner::Event> Runner::Timeline() const {
  std::vector<Event> events;
  for (const Disturbance& one : this->plan) {
    events.push_back({.at = one.begin, .disturbance = &one, .begins = true});
    events.push_back(
        {.at = one.begin + one.length, .disturbance = &one, .begins = false});
  }
  std::stable_sort(
      events.begin(), events.end(),
      [](const Event& one, const Event& other) { return one.at < other.at; });
  return events;
}

void Runner::Begin(const Disturbance& disturbance) {
  const std::string& instance = disturbance.instance;
  if (instance.starts_with("entry") && !this->fleet.IsRunning(instance)) {
    this->judge.AddViolation(instance + " had ended by itself");
  }
  switch (disturbance.action) {
    case Action::kKill:
      if (instance.starts_with("stock")) {
        this->CollectRuns(instance);
      }
      this->fleet.Signal(instance, SIGKILL);
      this->fleet.List(instance, "gone");
      break;
    case Action::kFreeze:
      this->fleet.Signal(instance, SIGSTOP);
      break;
    case Action::kStop:
      this->fleet.List(instance, "leaving");
      this->fleet.Signal(instance, SIGTERM);
      break;
    case Action::kFault:
      this->fleet.Fault(instance, disturbance.fault, disturbance.value);
      break;
    case Action::kRace:
      this->Change("entry-1", disturbance.value);
      this->Change("entry-2", disturbance.value + 1);
      break;
    case Action::kChange:
      this->Change("entry-1", disturbance.value);
      break;
  }
}

void Runner::End(const Disturbance& disturbance) {
  const std::string& instance = disturbance.instance;
  switch (disturbance.action) {
    case Action::kKill:
      this->Restart(instance);
      break;
    case Action::kFreeze:
      this->fleet.Signal(instance, SIGCONT);
      break;
    case Action::kStop:
      if (!Fleet::Await([&] { return !this->fleet.IsRunning(instance); },
                        kGracefulStop)) {
        this->judge.AddViolation(instance + " did not end its graceful stop");
        this->fleet.Signal(instance, SIGKILL);
      } else if (this->fleet.AwaitExit(instance) != 0) {
        this->judge.AddViolation(instance + " ended with an error");
      }
      this->Restart(instance);
      break;
    case Action::kFault:
      this->fleet.Fault(instance, disturbance.fault, 0);
      break;
    default:
      break;
  }
}

void Runner::Restart(const std::string& instance) {
  const std::string log = this->fleet.Folder() + '/' + instance + ".log";
  boost::system::error_code ignored;
  boost::filesystem::rename(
      log, log + '.' + std::to_string(++this->restarts[instance]), ignored);
  this->fleet.Start(instance);
}

void Runner::CollectRuns(const std::string& target) {
  this->judge.AddTarget(this->fleet.Counts(target));
}

void Runner::Change(const std::string& entry, const std::int64_t number) {
  const json body{
      {"id", "soak-" + entry + '-' + std::to_string(this->changes.size())},
      {"who", "soak"},
      {"why", "change " + std::to_string(number)},
      {"inventory", ReadFile(this->fleet.Folder() + "/inventory.ini")},
      {"rules", ReadFile(this->fleet.Folder() + "/rules.ini") +
                    "[route soak]\nservice = stock\npath = /soak/" +
                    std::to_string(number) + "\nmethod = GET\n"}};
  this->changes.emplace_back(
      entry, std::async(std::launch::async, [this, entry, body] {
        const auto outcome = Fleet::Send(this->fleet.OperationsOf(entry),
                                         {.method = "POST",
                                          .target = "/v1/apply",
                                          .fields = {{"Authorization", kToken}},
                                          .body = body.dump()});
        if (!core::Succeeded(outcome)) {
          return ChangeOutcome{};
        }
        const http::Response& response = core::ValueOf(outcome);
        const json answer = json::parse(response.body, nullptr, false);
        if (response.status != kOk || answer.contains("unchanged")) {
          return ChangeOutcome{.status = response.status};
        }
        return ChangeOutcome{
            .status = response.status,
            .revision = answer.value("revision", std::uint64_t{0})};
      }));
}

void Runner::SettleChanges() {
  for (auto& [entry, change] : this->changes) {
    const ChangeOutcome outcome = change.get();
    if (outcome.revision != 0) {
      this->judge.AddAccepted(entry, outcome.revision);
    }
    if (outcome.status >= kBadRequest && outcome.status < kServerError &&
        outcome.status != kClash) {
      this->judge.AddViolation("a good change was refused with status " +
                               std::to_string(outcome.status));
    }
  }
}

void Runner::AwaitRecovery() {
  const bool in_force = Fleet::Await(
      [this] {
        for (std::size_t i = 1; i <= this->options.entries; ++i) {
          const json status = this->fleet.StatusOf(NumberedName("entry-", i));
          if (!status.is_object() ||
              status.value("revision", std::uint64_t{0}) <
                  this->judge.NewestAccepted()) {
            return false;
          }
        }
        return true;
      },
      kInForce);
  if (!in_force) {
    this->judge.AddViolation("an accepted change is not in force everywhere");
  }
  const json after = this->fleet
                         .Drive({"--callers", "8", "--rate", "200", "--seconds",
                                 "2", "--reserve-percent", "20", "--name",
                                 "after", "--list-not-run"})
                         ->Report();
  this->judge.AddCallers(after);
  for (const char* bad : {"not_run", "unknown", "broken", "failed"}) {
    if (after.value(bad, 1) != 0) {
      this->judge.AddViolation("after all disturbances calls were still " +
                               std::string{bad} + ": " + after.dump());
    }
  }
}

void Runner::CheckProcesses() {
  for (std::size_t i = 1; i <= this->options.entries; ++i) {
    const std::string entry = NumberedName("entry-", i);
    if (!this->fleet.IsRunning(entry)) {
      this->judge.AddViolation(entry + " ended by itself");
    }
  }
}

}  // namespace trefoilbend::soak
