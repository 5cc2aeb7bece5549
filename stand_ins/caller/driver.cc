#include "caller/driver.h"

#include <nlohmann/json.hpp>

#include "common/content.h"

namespace trefoilbend::stand_ins {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds kTimeout{30};
constexpr std::chrono::milliseconds kPause{20};
constexpr std::chrono::milliseconds kFirstRetry{50};
constexpr std::uint32_t kPercent = 100;

struct PlannedCall {
  std::string id;
  http::Request request;
  std::string expected;
  std::uint32_t attempts = 0;
};

CallOutcome Judge(const PlannedCall& call,
                  const http::ResponseOutcome& outcome) {
  if (!core::Succeeded(outcome)) {
    return CallOutcome::kBroken;
  }
  const http::Response& response = core::ValueOf(outcome);
  const auto word = http::FindField(response.fields, "Trefoilbend-Outcome");
  if (word) {
    return *word == "not-run" ? CallOutcome::kNotRun : CallOutcome::kUnknown;
  }
  if (response.status != 200) {
    return CallOutcome::kFailed;
  }
  return response.body == call.expected ? CallOutcome::kAnswered
                                        : CallOutcome::kWrong;
}

}  // namespace

class Driver::Caller : public std::enable_shared_from_this<Driver::Caller> {
 public:
  Caller(Driver& driver, const std::uint32_t number)
      : driver(driver),
        name(driver.options.name + '-' + std::to_string(number)),
        http(http::Client::Create(driver.context)),
        timer(driver.context),
        random(driver.options.seed * 1'000'003 + number) {}

  void Start() {
    const auto now = Clock::now();
    this->end = now + this->driver.options.duration;
    this->due = now;
    if (this->driver.options.rate > 0) {
      this->due += this->DrawGap();
    }
    this->Next();
  }

 private:
  void Next() {
    if (this->driver.options.rate <= 0) {
      this->due = Clock::now();
    }
    if (this->due >= this->end) {
      return;
    }
    if (this->due <= Clock::now()) {
      this->FindEntry();
      return;
    }
    this->timer.expires_at(this->due);
    this->timer.async_wait(
        [self = this->shared_from_this()](auto) { self->FindEntry(); });
  }

  void FindEntry() {
    if (this->driver.options.direct) {
      this->Call(*this->driver.options.direct);
      return;
    }
    if (!this->known.empty() && Clock::now() < this->known_until) {
      this->Call(this->known.front());
      return;
    }
    const auto& entries = this->driver.options.entries;
    const http::Address& asked = entries[this->asked++ % entries.size()];
    this->http->Send(
        asked,
        {.method = "GET",
         .target = "/v1/entries?service=" + this->driver.options.service,
         .fields = {},
         .body = {}},
        kTimeout, [self = this->shared_from_this()](const auto& outcome) {
          self->OnEntries(outcome);
        });
  }

  void OnEntries(const http::ResponseOutcome& outcome) {
    this->known.clear();
    if (core::Succeeded(outcome)) {
      const auto body =
          nlohmann::json::parse(core::ValueOf(outcome).body, nullptr, false);
      if (body.is_object() && body.contains("entries")) {
        for (const auto& entry : body["entries"]) {
          this->known.push_back(http::ParseAddress(entry.get<std::string>())
                                    .value_or(http::Address{}));
        }
        this->known_until = Clock::now() + std::chrono::milliseconds{body.value(
                                               "keep_ms", std::int64_t{0})};
        this->key_prefix = body.value("key_prefix", std::string{});
      }
    }
    if (!this->known.empty()) {
      this->Call(this->known.front());
      return;
    }
    if (Clock::now() >= this->end && this->planned == nullptr) {
      return;
    }
    this->timer.expires_after(kPause);
    this->timer.async_wait(
        [self = this->shared_from_this()](auto) { self->FindEntry(); });
  }

  void Call(const http::Address& entry) {
    if (this->planned == nullptr) {
      this->planned = std::make_shared<PlannedCall>(this->Plan());
    }
    ++this->planned->attempts;
    this->http->Send(entry, this->planned->request, kTimeout,
                     [self = this->shared_from_this()](const auto& outcome) {
                       self->OnAnswer(outcome);
                     });
  }

  void OnAnswer(const http::ResponseOutcome& outcome) {
    const CallOutcome judged = Judge(*this->planned, outcome);
    if (judged != CallOutcome::kAnswered && !this->known.empty()) {
      this->known.erase(this->known.begin());
    }
    const bool final = judged == CallOutcome::kAnswered ||
                       judged == CallOutcome::kFailed ||
                       judged == CallOutcome::kWrong;
    if (!final && this->planned->attempts < this->driver.options.attempts) {
      this->timer.expires_after(kFirstRetry * this->planned->attempts);
      this->timer.async_wait(
          [self = this->shared_from_this()](auto) { self->FindEntry(); });
      return;
    }
    this->driver.tally.Add(judged, Clock::now() - this->due, this->planned->id);
    this->planned.reset();
    this->due +=
        this->driver.options.rate > 0 ? this->DrawGap() : Clock::duration{};
    this->Next();
  }

  PlannedCall Plan() {
    const DriverOptions& options = this->driver.options;
    PlannedCall call;
    call.id = this->name + '-' + std::to_string(this->count++);
    call.request.fields = {{"Host", options.service}, {"Call-Id", call.id}};
    std::uint32_t draw = std::uniform_int_distribution<std::uint32_t>{
        0, kPercent - 1}(this->random);
    if (draw < options.reserve_percent) {
      call.request.method = "POST";
      call.request.target = "/reserve";
      const std::string prefix = options.own_keys ? "" : this->key_prefix;
      call.request.fields.emplace_back("Idempotency-Key", prefix + call.id);
      call.request.body = "glass for " + call.id;
      call.expected = MakeContent(call.id, 200);
      return call;
    }
    draw -= options.reserve_percent;
    call.request.method = "GET";
    if (draw < options.sheet_percent) {
      const std::string path = "/sheet/" + std::to_string(draw);
      call.request.target =
          path + "?bytes=" + std::to_string(options.sheet_bytes);
      call.expected = MakeContent(path, options.sheet_bytes);
      return call;
    }
    draw -= options.sheet_percent;
    if (draw < options.urgent_percent) {
      call.request.fields.emplace_back("Priority", "u=0");
    }
    call.request.target =
        "/lookup?bytes=" + std::to_string(options.lookup_bytes);
    call.expected = MakeContent(call.id, options.lookup_bytes);
    return call;
  }

  Clock::duration DrawGap() {
    const double mean =
        this->driver.options.callers / this->driver.options.rate;
    const double seconds =
        std::exponential_distribution<double>{1.0 / mean}(this->random);
    return std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>{seconds});
  }

  Driver& driver;
  std::string name;
  std::shared_ptr<http::Client> http;
  boost::asio::steady_timer timer;
  std::mt19937_64 random;
  std::vector<http::Address> known;
  std::string key_prefix;
  std::shared_ptr<PlannedCall> planned;
  Clock::time_point known_until;
  Clock::time_point due;
  Clock::time_point end;
  std::uint64_t count = 0;
  std::size_t asked = 0;
};

Driver::Driver(boost::asio::io_context& context, DriverOptions options)
    : context(context), options(std::move(options)) {}

Driver::~Driver() = default;

void Driver::Start() {
  for (std::uint32_t number = 0; number < this->options.callers; ++number) {
    this->callers.push_back(std::make_shared<Caller>(*this, number));
    this->callers.back()->Start();
  }
}

}  // namespace trefoilbend::stand_ins
