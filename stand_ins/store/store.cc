#include "store/store.h"

#include <algorithm>
#include <cstdlib>
#include <random>
#include <utility>

#include "trefoilbend/wire/base64.h"

namespace trefoilbend::stand_ins {

using nlohmann::json;

namespace {

constexpr std::size_t kMostRows = 500;
constexpr int kDecimal = 10;

Place PlaceOf(const std::string& key) {
  const std::size_t slash = key.find('/');
  return {key.substr(0, slash), key.substr(slash + 1)};
}

/** The system may not write what operators and targets write. */
bool IsForbidden(const json& transaction) {
  for (const char* kind : {"Writes", "Remove"}) {
    for (const json& row : transaction.value(kind, json::array())) {
      const std::string table = row.at("TableName");
      if (table == "op" || table == "servers") {
        return true;
      }
    }
  }
  return false;
}

std::uint64_t NumberOf(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, kDecimal);
}

}  // namespace

Store::Store(boost::asio::io_context& context, http::Address address)
    : context(context) {
  this->server = http::Server::Builder{}
                     .On(std::move(address))
                     .WithHandler([this](const http::Request& request,
                                         http::Respond respond) {
                       this->Handle(request, std::move(respond));
                     })
                     .Build(context);
}

core::Outcome<std::monostate, std::string> Store::Open(
    const http::Address& address) {
  std::shared_ptr<http::Server>& opened = this->further[address];
  if (opened) {
    return std::monostate{};
  }
  opened =
      http::Server::Builder{}
          .On(address)
          .WithHandler([this, address](const http::Request& request,
                                       http::Respond respond) {
            this->Handle(request, [this, address, respond = std::move(respond)](
                                      const http::Response& response) {
              const bool away = this->faults.turned_away.contains(address);
              respond(away ? this->Answer({}, 503) : response);
            });
          })
          .Build(this->context);
  return opened->Listen();
}

http::Response Store::Answer(const json& body,
                             const std::uint16_t status) const {
  return {.status = status,
          .fields = {{"Store-Era", std::to_string(this->era)}},
          .body = body.dump()};
}

void Store::ComeBackFromCopy(const Return& how) {
  this->faults.busy = true;
  this->ForgetWatchers();
  this->After(how.away, [this, how] {
    std::vector<std::pair<std::string, std::optional<std::string>>> lost;
    for (const char* name : {"op", "servers"}) {
      for (const auto& [key, value] : this->table.Since(name, this->copy)) {
        lost.emplace_back(std::string{name} + '/' + key,
                          value ? wire::DecodeBase64(*value) : std::nullopt);
      }
    }
    std::shuffle(lost.begin(), lost.end(), std::mt19937{how.seed});
    this->table = this->copy;
    this->before = this->copy;
    ++this->era;
    this->faults.busy = false;
    if (how.rewritten_within) {
      const auto rows = static_cast<std::chrono::milliseconds::rep>(
          std::max<std::size_t>(1, lost.size()));
      this->WriteAgain(std::move(lost), *how.rewritten_within / rows);
    }
  });
}

void Store::WriteAgain(
    std::vector<std::pair<std::string, std::optional<std::string>>> lost,
    const std::chrono::milliseconds gap) {
  if (lost.empty()) {
    return;
  }
  const auto [key, value] = std::move(lost.back());
  lost.pop_back();
  this->Write(key, value);
  this->After(gap, [this, lost = std::move(lost), gap] {
    this->WriteAgain(lost, gap);
  });
}

void Store::ForgetWatchers() {
  for (const Watcher& watcher : this->watchers) {
    watcher.timer->cancel();
    this->unanswered.push_back(watcher.respond);
  }
  this->watchers.clear();
}

void Store::Handle(const http::Request& request, http::Respond respond) {
  static const std::map<std::pair<std::string, std::string>, Method> kMethods{
      {{"POST", "/rows-tx"}, &Store::Transact},
      {{"GET", "/rows-get"}, &Store::Get},
      {{"GET", "/rows-feed"}, &Store::Feed}};
  const std::string path{http::PathOf(request.target)};
  if (path == "/control") {
    this->Control(request, respond);
    return;
  }
  ++this->calls[path];
  if (this->faults.silent) {
    this->unanswered.push_back(std::move(respond));
    return;
  }
  if (this->faults.over_rate > 0) {
    --this->faults.over_rate;
    respond(this->Answer({}, 429));
    return;
  }
  const auto method = kMethods.find({request.method, path});
  if (this->faults.busy || method == kMethods.end()) {
    respond(this->Answer({}, this->faults.busy ? 503 : 404));
    return;
  }
  const http::Respond slowly = [this, respond = std::move(respond)](
                                   const http::Response& response) {
    this->After(this->faults.slow, [respond, response] { respond(response); });
  };
  try {
    (this->*method->second)(request, slowly);
  } catch (const json::exception& error) {
    slowly(this->Answer({{"Error", error.what()}}, 400));
  }
}

void Store::Transact(const http::Request& request,
                     const http::Respond& respond) {
  const json transaction = json::parse(request.body);
  if (IsForbidden(transaction)) {
    respond(this->Answer({}, 403));
    return;
  }
  if (this->faults.lost_answers > 0) {
    --this->faults.lost_answers;
    this->After(this->faults.late_writes, [this, transaction] {
      this->Commit(transaction, [](const http::Response&) {});
    });
    return;
  }
  this->Commit(transaction, respond);
}

void Store::Commit(const json& transaction, const http::Respond& respond) {
  VersionedTable unchanged = this->table;
  if (const auto conflicts = this->table.Commit(transaction)) {
    respond(this->Answer({{"Rows", *conflicts}}, 412));
    return;
  }
  this->before = std::move(unchanged);
  respond(this->Answer({{"Ver", this->table.Version()}}));
  this->TellWatchers();
}

void Store::Get(const http::Request& request, const http::Respond& respond) {
  auto query = http::QueryOf(request.target);
  const std::size_t limit =
      query["Limit"].empty()
          ? kMostRows
          : std::min<std::size_t>(kMostRows, NumberOf(query["Limit"]));
  const bool stale = this->faults.stale_reads > 0;
  this->faults.stale_reads -= stale ? 1 : 0;
  const VersionedTable& shown = stale ? this->before : this->table;
  respond(this->Answer(
      shown.Range(query["TableName"], query["RangeStart"], limit)));
}

void Store::Feed(const http::Request& request, const http::Respond& respond) {
  auto query = http::QueryOf(request.target);
  if (query["TableName"] == this->faults.silent_table) {
    this->unanswered.push_back(respond);
    return;
  }
  Watcher watcher{
      .table = query["TableName"],
      .after = NumberOf(query["after"]),
      .respond = respond,
      .timer = std::make_shared<boost::asio::steady_timer>(this->context)};
  watcher.timer->expires_after(
      std::chrono::milliseconds{NumberOf(query["WaitMs"])});
  watcher.timer->async_wait(
      [this, table = watcher.table, after = watcher.after, respond,
       timer = watcher.timer](const boost::system::error_code error) {
        if (!error) {
          std::erase_if(this->watchers,
                        [&](const Watcher& one) { return one.timer == timer; });
          const auto changes = this->table.Changes(table, after);
          respond(changes ? this->Answer(*changes) : this->Answer({}, 410));
        }
      });
  this->watchers.push_back(std::move(watcher));
  this->TellWatchers();
}

void Store::TellWatchers() {
  std::erase_if(this->watchers, [this](const Watcher& watcher) {
    const auto changes = this->table.Changes(watcher.table, watcher.after);
    if (changes && changes->at("Rows").empty()) {
      return false;
    }
    watcher.timer->cancel();
    watcher.respond(changes ? this->Answer(*changes) : this->Answer({}, 410));
    return true;
  });
}

void Store::Control(const http::Request& request,
                    const http::Respond& respond) {
  const json switches = json::parse(request.body, nullptr, false);
  if (!switches.is_object()) {
    respond(this->Answer({}, 400));
    return;
  }
  using std::chrono::milliseconds;
  this->faults.busy = switches.value("busy", false);
  this->faults.silent = switches.value("silent", false);
  this->faults.slow = milliseconds{switches.value("slow_ms", 0)};
  this->faults.lost_answers = switches.value("lost_answers", 0);
  this->faults.late_writes = milliseconds{switches.value("late_writes_ms", 0)};
  this->faults.stale_reads = switches.value("stale_reads", 0);
  this->faults.over_rate = switches.value("over_rate", 0);
  if (switches.value("forget_history", false)) {
    this->ForgetHistory();
  }
  if (switches.value("take_copy", false)) {
    this->TakeCopy();
  }
  if (switches.contains("come_back_ms")) {
    this->ComeBackFromCopy(
        {.away = milliseconds{switches.value("come_back_ms", 0)},
         .rewritten_within =
             milliseconds{switches.value("rewritten_within_ms", 0)}});
  }
  respond(this->Answer({}));
}

void Store::Write(const std::string& key,
                  const std::optional<std::string>& value) {
  const Place place = PlaceOf(key);
  json row{{"TableName", place.first}, {"part", ""}, {"Key", place.second}};
  if (value) {
    row["Value"] = wire::EncodeBase64(*value);
  }
  this->Commit({{value ? "Writes" : "Remove", json::array({row})}},
               [](const http::Response&) {});
}

std::optional<std::string> Store::Read(const std::string& key) const {
  const Place place = PlaceOf(key);
  const json found = this->table.Range(place.first, place.second, 1);
  if (found.at("Rows").empty() ||
      found.at("Rows").front().at("Key") != place.second) {
    return std::nullopt;
  }
  return wire::DecodeBase64(
      found.at("Rows").front().at("Value").get<std::string>());
}

void Store::After(const std::chrono::milliseconds delay,
                  std::function<void()> then) {
  if (delay.count() == 0) {
    then();
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(this->context);
  timer->expires_after(delay);
  timer->async_wait([timer, then = std::move(then)](auto) { then(); });
}

}  // namespace trefoilbend::stand_ins
