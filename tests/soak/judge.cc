#include "soak/judge.h"

#include <utility>

namespace trefoilbend::soak {

void Judge::AddTarget(const nlohmann::json& counts) {
  if (!counts.is_object()) {
    this->AddViolation("a target did not tell what it ran");
    return;
  }
  for (const auto& [key, runs] : counts.at("runs_by_key").items()) {
    this->runs_by_key[key] += runs.get<std::uint64_t>();
  }
  for (const auto& [call, runs] : counts.at("runs_by_call").items()) {
    this->run.insert(call);
  }
}

void Judge::AddCallers(const nlohmann::json& report) {
  if (!report.is_object()) {
    this->AddViolation("the driver ended without a report");
    return;
  }
  if (const auto wrong = report.at("wrong").get<std::uint64_t>(); wrong != 0) {
    this->AddViolation(std::to_string(wrong) +
                       " answers looked whole and were wrong");
  }
  for (const auto& call : report.at("not_run_calls")) {
    this->not_run.insert(call.get<std::string>());
  }
}

void Judge::AddAccepted(const std::string& entry,
                        const std::uint64_t revision) {
  const auto [other, inserted] = this->accepted.emplace(revision, entry);
  if (!inserted) {
    this->AddViolation("revision " + std::to_string(revision) +
                       " was accepted by both " + other->second + " and " +
                       entry);
  }
}

void Judge::AddViolation(std::string violation) {
  this->violations.push_back(std::move(violation));
}

std::vector<std::string> Judge::Violations() const {
  std::vector<std::string> all = this->violations;
  for (const auto& [key, runs] : this->runs_by_key) {
    if (runs > 1) {
      all.push_back("key " + key + " ran " + std::to_string(runs) + " times");
    }
  }
  for (const std::string& call : this->not_run) {
    if (this->run.contains(call)) {
      all.push_back("call " + call + " was refused as not run and was run");
    }
  }
  return all;
}

std::uint64_t Judge::NewestAccepted() const noexcept {
  return this->accepted.empty() ? 0 : this->accepted.rbegin()->first;
}

}  // namespace trefoilbend::soak
