#include "fake_target.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace trefoilbend::bench {

namespace {

constexpr int kMiddleFifth = 5;
constexpr int kMiddleTenth = 10;

}  // namespace

FakeTarget::FakeTarget(const Scenario& scenario, const std::uint32_t number)
    : scenario(scenario),
      number(number),
      slots(scenario.unequal
                ? scenario.slots / 2 + scenario.slots * (number % 2)
                : scenario.slots),
      random(scenario.seed * 1'000 + number),
      phase(std::uniform_int_distribution<std::int64_t>{
          0, core::Duration{scenario.slow_every}.count()}(this->random)) {}

FakeTarget::Arrival FakeTarget::Arrive(const std::size_t request,
                                       const core::TimePoint now) {
  if (this->number < this->scenario.fast_failing &&
      this->IsInMiddle(now, kMiddleFifth)) {
    return Arrival::kFailed;
  }
  if (this->running < this->slots) {
    ++this->running;
    this->Note(now);
    return Arrival::kRuns;
  }
  if (this->waiting.size() >= this->scenario.target_queue) {
    return Arrival::kShed;
  }
  this->waiting.push_back(request);
  this->Note(now);
  return Arrival::kWaits;
}

std::optional<std::size_t> FakeTarget::Finish(const core::TimePoint now) {
  if (this->waiting.empty()) {
    --this->running;
    this->Note(now);
    return std::nullopt;
  }
  const std::size_t next = this->waiting.front();
  this->waiting.pop_front();
  this->Note(now);
  return next;
}

void FakeTarget::Cancel(const std::size_t request) {
  std::erase(this->waiting, request);
}

core::Duration FakeTarget::DrawTime(const core::TimePoint now) {
  const double mean =
      std::chrono::duration<double>(this->scenario.service).count();
  const double sigma = this->scenario.sigma;
  const double drawn = std::lognormal_distribution<double>{
      std::log(mean) - sigma * sigma / 2, sigma}(this->random);
  const double factor = this->IsSlow(now) ? this->scenario.slow_factor : 1.0;
  auto time = std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(drawn * factor));
  if (this->number < this->scenario.frozen &&
      this->IsInMiddle(now, kMiddleTenth)) {
    time += this->scenario.length / kMiddleTenth;
  }
  return time;
}

forwarding::LoadReport FakeTarget::Report(const core::TimePoint now) {
  if (this->number < this->scenario.liars) {
    return {};
  }
  while (this->samples.size() > 1 &&
         this->samples[1].at <= now - this->scenario.report_lag) {
    this->samples.pop_front();
  }
  return this->samples.empty() ? forwarding::LoadReport{}
                               : this->samples.front().load;
}

double FakeTarget::ExpectedTime(const core::TimePoint now,
                                const std::uint32_t under_way) const {
  const double busy =
      this->running + static_cast<double>(this->waiting.size()) + under_way;
  const double rounds = std::max(0.0, busy - this->slots + 1) / this->slots;
  const double factor = this->IsSlow(now) ? this->scenario.slow_factor : 1.0;
  const bool dead = this->IsInMiddle(now, kMiddleFifth) &&
                    (this->number < this->scenario.fast_failing ||
                     this->number < this->scenario.frozen);
  return factor * (1 + rounds) + busy / this->slots / 1'000 + (dead ? 1e6 : 0);
}

bool FakeTarget::IsSlow(const core::TimePoint now) const noexcept {
  const core::Duration period{this->scenario.slow_every};
  const core::Duration at = (now.time_since_epoch() + this->phase) % period;
  return at < core::Duration{this->scenario.slow_for};
}

bool FakeTarget::IsInMiddle(const core::TimePoint now,
                            const int part) const noexcept {
  const core::Duration length{this->scenario.length};
  const core::Duration from = length / 2 - length / part / 2;
  return now.time_since_epoch() >= from &&
         now.time_since_epoch() < from + length / part;
}

void FakeTarget::Note(const core::TimePoint now) {
  this->samples.push_back(
      {.at = now,
       .load = {.in_flight = this->running,
                .queued = static_cast<std::uint32_t>(this->waiting.size())}});
}

}  // namespace trefoilbend::bench
