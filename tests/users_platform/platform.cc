#include "platform.h"

#include <boost/test/unit_test.hpp>

#include "support/await.h"
#include "trefoilbend/entry/settings.h"
#include "trefoilbend/wire/headers.h"

namespace trefoilbend::tests {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr std::uint16_t kFront = 8'144;
constexpr std::uint16_t kReady = 8'140;
constexpr std::uint16_t kDirectory = 8'143;
constexpr std::uint16_t kPeers = 8'146;
constexpr std::uint16_t kOperations = 8'147;
constexpr std::uint16_t kFeed = 7'661;
constexpr std::uint16_t kTarget = 8'200;
/** Ports of the store follow this one by the numbers of its entries. */
constexpr std::uint16_t kStorePorts = 9'000;
constexpr int kStoreHost = 2;
constexpr int kFirstTargetHost = 10;
constexpr int kRawTargetHost = 20;
/** Hosts of the entries follow this one by their numbers. */
constexpr int kEntries = 100;
constexpr const char* kHost = "a.example";
constexpr std::chrono::milliseconds kPoll{10};
constexpr std::chrono::seconds kTimeout{5};

std::string Text(const std::string_view text) { return std::string{text}; }

}  // namespace

Endpoint::Endpoint(boost::asio::io_context& context, std::string id,
                   http::Address address)
    : id(std::move(id)), address(std::move(address)) {
  this->server = http::Server::Builder{}
                     .On(this->address)
                     .WithHandler([this](const http::Request& request,
                                         const http::Respond& respond) {
                       respond(this->Serve(request));
                     })
                     .Build(context);
  BOOST_REQUIRE(core::Succeeded(this->server->Listen()));
}

http::Response Endpoint::Serve(const http::Request& request) {
  const std::string load = "0,0,6," + std::to_string(this->slowdowns);
  http::Response response;
  if (request.target == "/health") {
    response.fields.emplace_back(Text(wire::kTargetIdHeader), this->id);
  } else {
    ++this->arrivals;
    {
      const std::lock_guard lock(this->mutex);
      this->last = request.fields;
    }
    response = this->Answer(request);
  }
  response.fields.emplace_back(Text(wire::kLoadHeader), load);
  return response;
}

http::Response Endpoint::Answer(const http::Request& request) {
  const auto asked = http::FindField(request.fields, wire::kRequestIdHeader);
  const auto expected =
      http::FindField(request.fields, wire::kExpectedTargetHeader);
  http::Response response{.status = 200, .fields = {}, .body = this->id};
  response.fields.emplace_back(Text(wire::kRequestIdHeader),
                               asked.value_or(""));
  const Conduct now = this->conduct;
  if (now == Conduct::kIsAnother || expected != this->id) {
    response.status = 421;
    return response;
  }
  if (now == Conduct::kSheds) {
    response.status = 503;
    response.fields.emplace_back(Text(wire::kNotRunHeader), "1");
    return response;
  }
  ++this->runs;
  if (now == Conduct::kFails || now == Conduct::kPromises) {
    response.status = now == Conduct::kFails ? 500 : 503;
  }
  if (now != Conduct::kForgetsSignature) {
    response.fields.emplace_back(Text(wire::kSignatureHeader), this->id);
  }
  return response;
}

std::string Endpoint::LastField(const std::string& name) const {
  const std::lock_guard lock(this->mutex);
  return std::string{http::FindField(this->last, name).value_or("")};
}

std::string Endpoint::Entry(const std::string& state,
                            const std::string& version) const {
  return EntryOf(this->id, this->address, state, version);
}

std::string EntryOf(const std::string& id, const http::Address& address,
                    const std::string& state, const std::string& version) {
  return json{{"Address", http::ToString(address)},
              {"Info",
               {{"Service", "stock"},
                {"Version", version},
                {"Zone", id == "c" ? "far" : "near"},
                {"Slots", 6}}},
              {"Status", {{"State", state}, {"Seq", 1}, {"WarmupLeft", "0ms"}}}}
      .dump();
}

Platform::Platform() {
  this->store = std::make_unique<stand_ins::Store>(
      this->context, this->At(kStoreHost, kFront));
  BOOST_REQUIRE(core::Succeeded(this->store->GetServer().Listen()));
  int host = kFirstTargetHost;
  for (const char* id : {"a", "b", "c"}) {
    this->targets.emplace(
        id, std::make_unique<Endpoint>(this->context, id,
                                       this->At(host++, kTarget)));
    this->store->Write("servers/" + std::string{id},
                       this->targets.at(id)->Entry());
  }
  this->thread = std::thread([this] { this->context.run(); });
}

Platform::~Platform() {
  this->daemon.reset();
  this->running.clear();
  this->context.stop();
  this->thread.join();
}

settings::Document Platform::SettingsOf(const int number,
                                        const std::vector<Setting>& settings) {
  const auto address = [this, number](const std::uint16_t port) {
    return http::ToString(this->At(kEntries + number, port));
  };
  auto parsed = settings::Document::Parse("test", "");
  settings::Document& document = std::get<0>(parsed);
  document.Set("entry", "name", "entry-" + std::to_string(number));
  document.Set("entry", "data-centre", "near");
  document.Set("callers", "address", address(kFront));
  document.Set("callers", "directory", address(kDirectory));
  document.Set("callers", "readiness", address(kReady));
  document.Set("callers", "max-calls", "64");
  document.Set("callers", "leave-notice", "0ms");
  document.Set("callers", "keep", "200ms");
  document.Set("balancing", "strategy", "quiet");
  document.Set("balancing", "probes", "2");
  document.Set("balancing", "fleet-attempts", "50");
  document.Set("platform", "kind", "users-store");
  this->OnStore([&](stand_ins::Store& one) {
    BOOST_REQUIRE(core::Succeeded(one.Open(this->StoreOf(number))));
  });
  document.Set("platform", "address", http::ToString(this->StoreOf(number)));
  document.Set("platform", "timeout", "300ms");
  document.Set("platform", "watch", "15s");
  document.Set("membership", "address", address(kPeers));
  document.Set("membership", "feed-address", address(kFeed));
  document.Set("operations", "address", address(kOperations));
  document.Set("log", "level", "off");
  for (const Setting& setting : settings) {
    document.Set(setting.section, setting.key, setting.value);
  }
  return std::get<0>(std::move(parsed));
}

void Platform::StartEntry(const int number,
                          const std::chrono::microseconds clock_back,
                          const std::vector<Setting>& settings) {
  auto parsed = entry::ReadSettings(this->SettingsOf(number, settings));
  BOOST_REQUIRE(core::Succeeded(parsed));
  entry::Settings& read = std::get<0>(parsed);
  const core::Incarnation incarnation{
      read.callers.incarnation.Value() -
      static_cast<std::uint64_t>(clock_back.count())};
  read.callers.incarnation = incarnation;
  read.membership.incarnation = incarnation;
  std::unique_ptr<entry::Entry>& made = this->running[number];
  made = entry::Entry::Builder{}.WithSettings(std::move(read)).Build();
  BOOST_REQUIRE(core::Succeeded(made->Start()));
}

void Platform::StartDaemon(const std::vector<Setting>& settings) {
  this->daemon.reset();
  this->daemon = std::make_unique<Daemon>(this->SettingsOf(1, settings));
  BOOST_REQUIRE(Await([this] { return this->Readiness() == 200; }));
}

Setting Platform::SeedOf(const int number) const {
  return {"membership", "seeds",
          http::ToString(this->At(kEntries + number, kPeers))};
}

http::Address Platform::Front() const { return this->At(kEntries + 1, kFront); }

http::Address Platform::DirectoryAddress() const {
  return this->At(kEntries + 1, kDirectory);
}

void Platform::ListOnlyTheRawTarget() {
  this->OnStore([this](stand_ins::Store& one) {
    for (const char* id : {"a", "b", "c"}) {
      one.Write("servers/" + std::string{id}, std::nullopt);
    }
    one.Write("servers/raw", EntryOf("raw", this->RawTargetAddress()));
  });
}

void Platform::WriteDesiredState(const int version, const std::string& prefix,
                                 const std::string& kind) {
  this->WriteRoute(version, {.prefix = prefix, .kind = kind});
}

void Platform::WriteRoute(const int version, const RouteWish& wish) {
  char number[9];
  std::snprintf(number, sizeof number, "%08x", static_cast<unsigned>(version));
  const json state{
      {"Version", number},
      {"Routes",
       {{"Columns",
         {"Name", "Hostname", "Prefix", "RouteType", "Timeout", "TargetLatency",
          "Priority", "Service", "Attempts", "TrafficSplit"}},
        {"Rows",
         json::array({json::array({"r-1", kHost, wish.prefix, wish.kind,
                                   std::to_string(wish.timeout.count()) + "ms",
                                   "200ms", 1, "stock", 2, nullptr})})}}},
      {"Services",
       {{"Columns", {"Name", "HealthPath", "MaxConns", "Warmup", "WarmupPerS"}},
        {"Rows", json::array({json::array(
                     {"stock", "/health", wish.connections, "3s", 25.0})})}}},
      {"Limits",
       {{"MaxHeaderBytes", 16'384},
        {"MaxBodyBytes", wish.max_body},
        {"HeaderTimeout", "3000ms"},
        {"IdleTimeout", "15000ms"}}}};
  this->OnStore(
      [&](stand_ins::Store& one) { one.Write("op/config", state.dump()); });
}

void Platform::OnStore(const std::function<void(stand_ins::Store&)>& action) {
  std::promise<void> done;
  boost::asio::post(this->context, [&] {
    action(*this->store);
    done.set_value();
  });
  done.get_future().get();
}

void Platform::TurnAway(const int number, const bool away) {
  this->OnStore([&](stand_ins::Store& one) {
    if (away) {
      one.faults.turned_away.insert(this->StoreOf(number));
    } else {
      one.faults.turned_away.erase(this->StoreOf(number));
    }
  });
}

http::Address Platform::RawTargetAddress() const {
  return this->At(kRawTargetHost, kTarget);
}

int Platform::Runs() const {
  int all = 0;
  for (const auto& [id, target] : this->targets) {
    all += target->Runs();
  }
  return all;
}

http::Response Platform::Call(const std::string& path,
                              const std::string& method, const int number) {
  return this->Send(number, "r-" + std::to_string(++this->calls), path, method);
}

http::Response Platform::CallAs(const std::string& id, const std::string& path,
                                const std::string& method) {
  return this->Send(1, id, path, method);
}

http::Response Platform::Send(const int number, const std::string& id,
                              const std::string& path,
                              const std::string& method) const {
  const auto outcome =
      http::SendAndWait(this->At(kEntries + number, kFront),
                        {.method = method,
                         .target = path,
                         .fields = {{"Host", kHost},
                                    {Text(wire::kRequestIdHeader), id},
                                    {Text(wire::kTimeLeftHeader), "3000"}},
                         .body = {}},
                        kTimeout);
  return core::Succeeded(outcome) ? core::ValueOf(outcome)
                                  : http::Response{.status = 0, .fields = {}};
}

int Platform::Readiness(const int number) const {
  return Get(this->At(kEntries + number, kReady), "/ready").status;
}

http::Response Platform::Directory() const {
  return Get(this->At(kEntries + 1, kDirectory),
             "/resolve?Name=a.example&Region=r&Zone=near");
}

std::string Platform::Metrics(const int number) const {
  return Get(this->At(kEntries + number, kOperations), "/metrics").body;
}

http::Response Platform::Get(const http::Address& address,
                             const std::string& target) {
  const auto outcome = http::SendAndWait(
      address, {.method = "GET", .target = target, .fields = {}, .body = {}},
      kTimeout);
  return core::Succeeded(outcome) ? core::ValueOf(outcome)
                                  : http::Response{.status = 0, .fields = {}};
}

bool Platform::Await(const std::function<bool()>& condition,
                     const std::chrono::milliseconds limit) {
  return AwaitCondition(condition, limit, kPoll);
}

http::Address Platform::StoreOf(const int number) const {
  return this->At(kStoreHost, static_cast<std::uint16_t>(kStorePorts + number));
}

http::Address Platform::At(const int host, const std::uint16_t port) const {
  return this->network.At(host, port);
}

}  // namespace trefoilbend::tests
