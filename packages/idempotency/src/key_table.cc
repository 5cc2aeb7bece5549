#include "trefoilbend/idempotency/key_table.h"

#include <algorithm>

#include "trefoilbend/core/invariant.h"

namespace trefoilbend::idempotency {

namespace {

using core::Refusal;
using core::RefusalReason;
using core::RunState;

constexpr std::chrono::milliseconds kRetryAfter{1'000};

/** Buckets by the second keep the index small beside the keys. */
IssueTime BucketOf(const IssueTime issued) noexcept {
  return std::chrono::ceil<std::chrono::seconds>(issued);
}

std::string NameOf(const Key& key) {
  return key.service.Text() + '\n' + key.text;
}

}  // namespace

std::size_t LengthOf(const core::AnswerHead& answer) noexcept {
  std::size_t length = answer.body.size();
  for (const auto& [name, value] : answer.fields) {
    length += name.size() + value.size();
  }
  return length;
}

KeyTable::KeyTable(KeyTableOptions options) : options(std::move(options)) {}

Verdict KeyTable::Admit(const Key& key, const RequestDigest& digest,
                        const core::CallId waiter, const IssueTime now) {
  this->latest = std::max(this->latest, now);
  if (const auto refusal = this->Check(key.home)) {
    return KeyRefused{*refusal};
  }
  const std::string name = NameOf(key);
  const auto found = this->records.find(name);
  if (found == this->records.end()) {
    if (this->records.size() >= this->options.keys) {
      return KeyRefused{{.run = RunState::kNotRun,
                         .reason = RefusalReason::kBusy,
                         .retry_after = kRetryAfter}};
    }
    const auto added =
        this->records.emplace(name, Record{.digest = digest,
                                           .issued = key.home.issued,
                                           .waiters = {waiter},
                                           .result = {}});
    this->by_issue[BucketOf(key.home.issued)].push_back(&added.first->first);
    return RunCall{};
  }
  Record& record = found->second;
  if (record.digest != digest) {
    return KeyRefused{
        {.run = RunState::kNotRun, .reason = RefusalReason::kKeyReused}};
  }
  if (record.result) {
    return ReplayResult{*record.result};
  }
  record.waiters.push_back(waiter);
  return AwaitRun{};
}

std::vector<core::CallId> KeyTable::Finish(const Key& key,
                                           const Result& result) {
  const auto found = this->records.find(NameOf(key));
  core::CheckInvariant(
      found != this->records.end() && !found->second.result.has_value(),
      "a key finishes once, while it runs");
  std::vector<core::CallId> waiters = std::move(found->second.waiters);
  found->second.waiters = {};
  const auto* refusal = std::get_if<Refusal>(&result);
  if (refusal != nullptr && refusal->run == RunState::kNotRun) {
    std::erase(this->by_issue[BucketOf(found->second.issued)], &found->first);
    this->Erase(found);
    return waiters;
  }
  found->second.result = this->Keep(result);
  return waiters;
}

void KeyTable::Leave(const Key& key, const core::CallId waiter) {
  const auto found = this->records.find(NameOf(key));
  if (found != this->records.end()) {
    std::erase(found->second.waiters, waiter);
  }
}

void KeyTable::Expire(const IssueTime now) {
  this->latest = std::max(this->latest, now);
  auto bucket = this->by_issue.begin();
  while (bucket != this->by_issue.end() && this->IsExpired(bucket->first)) {
    this->ExpireBucket(bucket->second);
    bucket = bucket->second.empty() ? this->by_issue.erase(bucket)
                                    : std::next(bucket);
  }
}

void KeyTable::ExpireBucket(std::vector<const std::string*>& names) {
  std::erase_if(names, [this](const std::string* name) {
    const auto record = this->records.find(*name);
    const bool running = !record->second.result.has_value();
    if (!running) {
      this->Erase(record);
    }
    return !running;
  });
}

std::optional<Refusal> KeyTable::Check(const Home& home) const {
  if (home.entry != this->options.self ||
      home.incarnation != this->options.incarnation) {
    return Refusal{.run = RunState::kUnknown,
                   .reason = RefusalReason::kKeyExpired};
  }
  if (home.issued > this->latest + this->options.clock_skew) {
    return Refusal{.run = RunState::kNotRun,
                   .reason = RefusalReason::kKeyNotYetValid,
                   .retry_after = kRetryAfter};
  }
  if (this->IsExpired(home.issued)) {
    return Refusal{.run = RunState::kUnknown,
                   .reason = RefusalReason::kKeyExpired};
  }
  return std::nullopt;
}

bool KeyTable::IsExpired(const IssueTime issued) const noexcept {
  return issued < this->latest - this->options.retention;
}

Result KeyTable::Keep(const Result& result) {
  const auto* answer = std::get_if<KeptAnswer>(&result);
  if (answer == nullptr) {
    return result;
  }
  const std::size_t length = LengthOf(**answer);
  if (this->kept_bytes + length > this->options.answer_bytes) {
    return Refusal{.run = RunState::kUnknown,
                   .reason = RefusalReason::kAnswerNotKept};
  }
  this->kept_bytes += length;
  return result;
}

void KeyTable::Erase(const Records::iterator record) {
  if (record->second.result) {
    if (const auto* answer = std::get_if<KeptAnswer>(&*record->second.result)) {
      this->kept_bytes -= LengthOf(**answer);
    }
  }
  this->records.erase(record);
}

}  // namespace trefoilbend::idempotency
