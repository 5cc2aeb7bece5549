#include "target/target.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <cmath>
#include <memory>

#include "common/content.h"

namespace trefoilbend::stand_ins {

namespace {

using nlohmann::json;

constexpr std::int64_t kPercent = 100;
constexpr std::size_t kMostSamples = 100'000;
constexpr std::size_t kDefaultBytes = 200;

std::string FieldOf(const http::Request& request, const std::string_view name) {
  return std::string{http::FindField(request.fields, name).value_or("")};
}

Reply Plain(const std::uint16_t status, const json& body) {
  return {.response = {.status = status, .fields = {}, .body = body.dump()}};
}

Reply Refusal() {
  Reply reply = Plain(503, {{"error", "no room"}});
  reply.response.fields.emplace_back("Retry-After", "1");
  return reply;
}

}  // namespace

Target::Target(boost::asio::io_context& context, TargetOptions options)
    : context(context), options(options), random(options.seed) {
  this->faults.cold = options.cold ? 1 : 0;
}

void Target::Handle(http::Request request, Done done) {
  const std::string_view path = http::PathOf(request.target);
  if (path.starts_with("/control/")) {
    done(this->Control(request));
    return;
  }
  const auto with_report = [this, done = std::move(done)](Reply reply) {
    reply.response.fields.emplace_back("Endpoint-Load-Metrics",
                                       this->LoadReport());
    done(std::move(reply));
  };
  if (path == "/load") {
    ++this->probes;
    with_report(Plain(200, {{"ok", true}}));
    return;
  }
  this->Admit(std::move(request), with_report);
}

void Target::CountOpened() {
  ++this->opened;
  this->most_open = std::max(this->most_open, ++this->open);
  const auto now = std::chrono::steady_clock::now();
  auto& recent = this->recently_opened;
  recent.push_back(now);
  while (recent.front() <= now - std::chrono::seconds{1}) {
    recent.pop_front();
  }
  this->most_opened_in_a_second =
      std::max(this->most_opened_in_a_second, recent.size());
}

std::string Target::LoadReport() {
  Sample shown{
      .at = {}, .running = this->running, .queued = this->waiting.size()};
  const auto age = std::chrono::milliseconds{this->faults.report_lag_ms};
  const auto now = std::chrono::steady_clock::now();
  if (age.count() > 0) {
    const auto found = std::find_if(
        this->samples.rbegin(), this->samples.rend(),
        [&](const Sample& sample) { return sample.at <= now - age; });
    shown = found == this->samples.rend() ? Sample{} : *found;
  }
  if (this->faults.lie != 0) {
    shown = {};
  }
  const json metrics{{"in_flight", shown.running},
                     {"queued", shown.queued},
                     {"cold", this->faults.cold != 0 ? 1 : 0},
                     {"draining", this->faults.drain != 0 ? 1 : 0}};
  return "JSON " + json{{"named_metrics", metrics}}.dump();
}

Reply Target::Control(const http::Request& request) {
  auto query = http::QueryOf(request.target);
  if (http::PathOf(request.target) == "/control/fault") {
    const auto found = Faults::Switches().find(query["name"]);
    if (found == Faults::Switches().end()) {
      return Plain(404, {{"error", "no such fault"}});
    }
    this->faults.*found->second = std::atol(query["value"].c_str());
    return Plain(200, {{"ok", true}});
  }
  std::uint64_t doubled = 0;
  for (const auto& [key, runs] : this->runs_by_key) {
    doubled += runs > 1 ? 1 : 0;
  }
  json counts{{"handled", this->handled},
              {"running", this->running},
              {"most_running", this->most_running},
              {"probes", this->probes},
              {"open", this->open},
              {"most_open", this->most_open},
              {"opened", this->opened},
              {"most_opened_in_a_second", this->most_opened_in_a_second},
              {"shed", this->shed},
              {"ranges", this->ranges},
              {"cold_overruns", this->cold_overruns},
              {"cold_handled", this->cold_handled},
              {"most_in_flight_cold", this->most_in_flight_cold},
              {"keys", this->runs_by_key.size()},
              {"keys_run_twice", doubled}};
  if (query.contains("runs")) {
    counts["runs_by_key"] = this->runs_by_key;
    counts["runs_by_call"] = this->runs_by_call;
  }
  return Plain(200, counts);
}

void Target::Admit(http::Request request, Done done) {
  this->CountCold();
  if (this->faults.drain == 1 || this->waiting.size() >= this->options.queue) {
    ++this->shed;
    Reply refusal = Refusal();
    refusal.repeat = this->faults.repeat_refusals != 0;
    done(std::move(refusal));
    return;
  }
  if (this->Strikes(this->faults.fast_fail_percent, request)) {
    done(Plain(500, {{"error", "failed"}}));
    return;
  }
  if (this->running >= this->options.slots) {
    this->waiting.push_back({std::move(request), std::move(done)});
    return;
  }
  this->Run({std::move(request), std::move(done)});
}

void Target::CountCold() {
  if (this->faults.cold == 0) {
    return;
  }
  const std::size_t in_flight = this->running + this->waiting.size() + 1;
  ++this->cold_handled;
  this->cold_overruns += in_flight > this->options.cold_bears ? 1 : 0;
  this->most_in_flight_cold = std::max(this->most_in_flight_cold, in_flight);
}

void Target::Run(Waiting work) {
  ++this->running;
  ++this->handled;
  this->most_running = std::max(this->most_running, this->running);
  this->samples.push_back(
      {std::chrono::steady_clock::now(), this->running, this->waiting.size()});
  if (this->samples.size() > kMostSamples) {
    this->samples.pop_front();
  }
  if (const std::string key = FieldOf(work.request, "Idempotency-Key");
      !key.empty()) {
    ++this->runs_by_key[key];
  }
  if (const std::string call = FieldOf(work.request, "Call-Id");
      !call.empty()) {
    ++this->runs_by_call[call];
  }
  const auto time = this->DrawServiceTime(work.request);
  this->After(time, [this, work = std::move(work)] { this->Finish(work); });
}

void Target::Finish(const Waiting& work) {
  --this->running;
  if (!this->waiting.empty()) {
    Waiting next = std::move(this->waiting.front());
    this->waiting.pop_front();
    this->Run(std::move(next));
  }
  Reply reply = this->Answer(work.request);
  this->After(std::chrono::milliseconds{this->faults.late_ms},
              [done = work.done, reply = std::move(reply)] { done(reply); });
}

Reply Target::Answer(const http::Request& request) {
  if (this->Strikes(this->faults.fail_percent, request)) {
    return Plain(500, {{"error", "failed"}});
  }
  if (this->Strikes(this->faults.refuse_after_run_percent, request)) {
    return Refusal();
  }
  const std::string path{http::PathOf(request.target)};
  auto query = http::QueryOf(request.target);
  const std::size_t bytes =
      query.contains("bytes") ? std::stoul(query["bytes"]) : kDefaultBytes;
  const bool is_sheet = path.starts_with("/sheet/");
  const std::string edition =
      this->faults.edition == 0 ? "" : std::to_string(this->faults.edition);
  const std::string subject =
      is_sheet ? path + edition : FieldOf(request, "Call-Id");
  Reply reply;
  reply.response.content_type = "text/plain";
  reply.response.body = MakeContent(subject, bytes);
  if (is_sheet) {
    const std::string validator =
        '"' + path + edition + '-' + std::to_string(bytes) + '"';
    reply.response.fields.emplace_back("ETag", validator);
    reply.response.fields.emplace_back("Accept-Ranges", "bytes");
    const std::string range = FieldOf(request, "Range");
    const std::string prefix = "bytes=";
    const std::string condition = FieldOf(request, "If-Range");
    if (range.starts_with(prefix) &&
        (condition.empty() || condition == validator)) {
      ++this->ranges;
      const std::size_t from =
          std::min(bytes, std::stoul(range.substr(prefix.size())));
      reply.response.status = 206;
      reply.response.body.erase(0, from);
      reply.response.fields.emplace_back("Content-Range",
                                         "bytes " + std::to_string(from) + '-' +
                                             std::to_string(bytes - 1) + '/' +
                                             std::to_string(bytes));
    }
  }
  reply.reset = this->Strikes(this->faults.reset_percent, request);
  reply.truncate = this->Strikes(this->faults.truncate_percent, request);
  if (is_sheet && this->faults.truncate_next > 0) {
    --this->faults.truncate_next;
    reply.truncate = true;
  }
  return reply;
}

bool Target::Strikes(const std::int64_t percent, const http::Request& request) {
  return percent > 0 && this->Concerns(request) &&
         std::uniform_int_distribution<std::int64_t>{
             0, kPercent - 1}(this->random) < percent;
}

bool Target::Concerns(const http::Request& request) const {
  return this->faults.one_route == 0 || request.target.starts_with("/lookup");
}

std::chrono::microseconds Target::DrawServiceTime(
    const http::Request& request) {
  const auto median = static_cast<double>(this->options.service_time.count());
  double time = median;
  if (this->options.sigma > 0) {
    time = std::lognormal_distribution<double>{
        std::log(median), this->options.sigma}(this->random);
  }
  if (this->faults.slow > 0 && this->Concerns(request)) {
    time *= static_cast<double>(this->faults.slow);
  }
  return std::chrono::microseconds{static_cast<std::int64_t>(time)};
}

void Target::After(const std::chrono::microseconds delay,
                   std::function<void()> action) {
  if (delay.count() == 0) {
    action();
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(this->context);
  timer->expires_after(delay);
  timer->async_wait([timer, action = std::move(action)](auto) { action(); });
}

}  // namespace trefoilbend::stand_ins
