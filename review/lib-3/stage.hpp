// Small stand-ins for the review cases: the platform's store, endpoints and clients, each on loopback
// addresses, and the daemons as separate processes, started as deploy/system.toml says with the settings
// of deploy/entry.ini. Needs POSIX sockets, threads and nlohmann/json only.
#ifndef REVIEW_LIB_3_STAGE_HPP_
#define REVIEW_LIB_3_STAGE_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace stage {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/** Time zero of all records. */
inline const Clock::time_point kStart = Clock::now();

inline std::int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - kStart).count();
}

inline void SleepUntil(std::int64_t ms) {
  std::this_thread::sleep_until(kStart + milliseconds{ms});
}

inline void Sleep(std::int64_t ms) { std::this_thread::sleep_for(milliseconds{ms}); }

/** The exit codes that the review asks for. */
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/** record.txt: one line for each thing that was sent, answered, run or done. */
class Record {
 public:
  void Open(const std::string& path) { this->out.open(path, std::ios::trunc); }
  void Line(const std::string& text) {
    const std::lock_guard lock(this->mutex);
    this->out << NowMs() << " ms  " << text << '\n';
    this->out.flush();
  }
  void Say(const std::string& text) {
    this->Line(text);
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
  }

 private:
  std::mutex mutex;
  std::ofstream out;
};

inline Record& Log() {
  static Record record;
  return record;
}

struct Address {
  std::string ip;
  int port{};
  [[nodiscard]] std::string Text() const { return this->ip + ':' + std::to_string(this->port); }
};

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in in{};
  in.sin_family = AF_INET;
  in.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &in.sin_addr);
  return in;
}

/** A network of loopback addresses that no other run is likely to use. */
class Network {
 public:
  Network() {
    std::srand(static_cast<unsigned>(getpid() ^ std::time(nullptr)));
    for (int attempt = 0; attempt < 50; ++attempt) {
      this->prefix = "127." + std::to_string(20 + std::rand() % 200) + '.' + std::to_string(1 + std::rand() % 250) + '.';
      if (this->IsFree()) {
        return;
      }
    }
  }
  [[nodiscard]] std::string Ip(int host) const { return this->prefix + std::to_string(host); }

 private:
  [[nodiscard]] bool IsFree() const {
    for (const Address& address : {Address{this->Ip(1), 8144}, Address{this->Ip(200), 8142}}) {
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in in = ToSockaddr(address);
      const bool bound = bind(fd, reinterpret_cast<const sockaddr*>(&in), sizeof in) == 0;
      close(fd);
      if (!bound) {
        return false;
      }
    }
    return true;
  }
  std::string prefix;
};

// ---------------------------------------------------------------------------------------------------
// HTTP/1.1 over blocking sockets

using Fields = std::vector<std::pair<std::string, std::string>>;

inline bool SameName(const std::string& a, const std::string& b) { return strcasecmp(a.c_str(), b.c_str()) == 0; }

inline std::string Find(const Fields& fields, const std::string& name) {
  for (const auto& [key, value] : fields) {
    if (SameName(key, name)) {
      return value;
    }
  }
  return "";
}

struct Message {
  std::string start;  // first line
  Fields fields;
  std::string body;
  [[nodiscard]] int Status() const { return this->start.size() > 12 ? std::atoi(this->start.c_str() + 9) : 0; }
  [[nodiscard]] std::string Method() const { return this->start.substr(0, this->start.find(' ')); }
  [[nodiscard]] std::string Target() const {
    const auto from = this->start.find(' ') + 1;
    return this->start.substr(from, this->start.find(' ', from) - from);
  }
  [[nodiscard]] std::string Path() const {
    const std::string target = this->Target();
    return target.substr(0, target.find('?'));
  }
  [[nodiscard]] std::map<std::string, std::string> Query() const {
    std::map<std::string, std::string> query;
    const std::string target = this->Target();
    const auto mark = target.find('?');
    if (mark == std::string::npos) {
      return query;
    }
    std::stringstream parts{target.substr(mark + 1)};
    for (std::string part; std::getline(parts, part, '&');) {
      const auto equals = part.find('=');
      std::string value;
      const std::string raw = equals == std::string::npos ? "" : part.substr(equals + 1);
      for (std::size_t at = 0; at < raw.size(); ++at) {
        if (raw[at] == '%' && at + 2 < raw.size()) {
          value += static_cast<char>(std::stoi(raw.substr(at + 1, 2), nullptr, 16));
          at += 2;
        } else {
          value += raw[at] == '+' ? ' ' : raw[at];
        }
      }
      query[part.substr(0, equals)] = value;
    }
    return query;
  }
};

/** A connected socket with a buffer of what was received. */
class Stream {
 public:
  explicit Stream(int fd) : fd(fd) {
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }
  ~Stream() { this->Close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  static std::shared_ptr<Stream> Connect(const Address& to, int timeout_ms) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in in = ToSockaddr(to);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&in), sizeof in) != 0 && errno != EINPROGRESS) {
      close(fd);
      return nullptr;
    }
    pollfd waits{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (poll(&waits, 1, timeout_ms) != 1 || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      close(fd);
      return nullptr;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return std::make_shared<Stream>(fd);
  }

  /** Sends all; false if the connection is gone. */
  bool Send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t now = send(this->fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (now <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(now);
    }
    return true;
  }

  /** Receives more bytes; false on end, reset or at the time limit. */
  bool Fill(std::int64_t until_ms) {
    const std::int64_t left = until_ms - NowMs();
    pollfd waits{this->fd, POLLIN, 0};
    if (left <= 0 || poll(&waits, 1, static_cast<int>(left)) != 1) {
      this->timed_out = true;
      return false;
    }
    char part[16384];
    const ssize_t length = recv(this->fd, part, sizeof part, 0);
    if (length <= 0) {
      return false;
    }
    this->buffer.append(part, static_cast<std::size_t>(length));
    return true;
  }

  /** Reads a message with Content-Length, chunks or no body. */
  std::optional<Message> Read(std::int64_t until_ms) {
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!this->Fill(until_ms)) {
        return std::nullopt;
      }
    }
    Message message;
    std::stringstream head{this->buffer.substr(0, end + 2)};
    this->buffer.erase(0, end + 4);
    std::getline(head, message.start);
    if (!message.start.empty() && message.start.back() == '\r') {
      message.start.pop_back();
    }
    for (std::string line; std::getline(head, line);) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      const auto colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string value = line.substr(colon + 1);
      value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
      message.fields.emplace_back(line.substr(0, colon), value);
    }
    if (SameName(Find(message.fields, "Transfer-Encoding"), "chunked")) {
      return this->ReadChunks(std::move(message), until_ms);
    }
    const std::string told = Find(message.fields, "Content-Length");
    const std::size_t length = told.empty() ? 0 : std::stoul(told);
    while (this->buffer.size() < length) {
      if (!this->Fill(until_ms)) {
        return std::nullopt;
      }
    }
    message.body = this->buffer.substr(0, length);
    this->buffer.erase(0, length);
    return message;
  }

  [[nodiscard]] bool IsQuiet() const {
    pollfd waits{this->fd, POLLIN, 0};
    return this->buffer.empty() && poll(&waits, 1, 0) == 0;
  }
  [[nodiscard]] bool TimedOut() const { return this->timed_out; }
  [[nodiscard]] int Fd() const { return this->fd; }

  void Close() {
    if (this->fd >= 0) {
      close(this->fd);
      this->fd = -1;
    }
  }
  /** Wakes a thread that reads; the connection ends with a reset. */
  void Reset() {
    const linger hard{1, 0};
    setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    shutdown(this->fd, SHUT_RD);
  }

 private:
  std::optional<Message> ReadChunks(Message message, std::int64_t until_ms) {
    for (;;) {
      std::size_t end = 0;
      while ((end = this->buffer.find("\r\n")) == std::string::npos) {
        if (!this->Fill(until_ms)) {
          return std::nullopt;
        }
      }
      const std::size_t length = std::stoul(this->buffer.substr(0, end), nullptr, 16);
      while (this->buffer.size() < end + 2 + length + 2) {
        if (!this->Fill(until_ms)) {
          return std::nullopt;
        }
      }
      message.body += this->buffer.substr(end + 2, length);
      this->buffer.erase(0, end + 2 + length + 2);
      if (length == 0) {
        return message;
      }
    }
  }

  int fd;
  bool timed_out = false;
  std::string buffer;
};

inline std::string Encode(const std::string& start, const Fields& fields, const std::string& body) {
  std::string text = start + "\r\n";
  for (const auto& [name, value] : fields) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** A server with a thread for each connection. */
class Server {
 public:
  using Handler = std::function<bool(Stream&, const Message&)>;

  Server(Address address, Handler handler) : address(std::move(address)), handler(std::move(handler)) {}
  ~Server() { this->Stop(); }

  bool Open() {
    this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in in = ToSockaddr(this->address);
    if (bind(this->listener, reinterpret_cast<const sockaddr*>(&in), sizeof in) != 0 ||
        listen(this->listener, 256) != 0) {
      close(this->listener);
      return false;
    }
    this->open = true;
    this->acceptor = std::thread([this] { this->AcceptAll(); });
    return true;
  }

  /** Connections are reset, and new ones are refused. */
  void Stop() {
    if (!this->open.exchange(false)) {
      return;
    }
    shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    close(this->listener);
    {
      const std::lock_guard lock(this->mutex);
      for (const auto& stream : this->streams) {
        stream->Reset();
      }
    }
    std::unique_lock lock(this->mutex);
    this->ended.wait_for(lock, std::chrono::seconds{5}, [this] { return this->streams.empty(); });
  }

  [[nodiscard]] bool IsOpen() const { return this->open; }

 private:
  void AcceptAll() {
    while (this->open) {
      const int fd = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (!this->open) {
          return;
        }
        continue;
      }
      auto stream = std::make_shared<Stream>(fd);
      {
        const std::lock_guard lock(this->mutex);
        this->streams.push_back(stream);
      }
      std::thread([this, stream] {
        while (this->open) {
          const auto request = stream->Read(NowMs() + 60'000);
          if (!request || !this->open || !this->handler(*stream, *request)) {
            break;
          }
        }
        const std::lock_guard lock(this->mutex);
        this->streams.remove(stream);
        stream->Close();
        this->ended.notify_all();
      }).detach();
    }
  }

  Address address;
  Handler handler;
  int listener = -1;
  std::atomic<bool> open{false};
  std::thread acceptor;
  std::mutex mutex;
  std::condition_variable ended;
  std::list<std::shared_ptr<Stream>> streams;
};

// ---------------------------------------------------------------------------------------------------
// The platform's store

inline std::string ToBase64(const std::string& text) {
  static const char* const kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t at = 0; at < text.size(); at += 3) {
    unsigned bits = 0;
    for (std::size_t next = 0; next < 3; ++next) {
      bits = bits << 8U | (at + next < text.size() ? static_cast<unsigned char>(text[at + next]) : 0U);
    }
    for (int digit = 0; digit < 4; ++digit) {
      const bool given = at + static_cast<std::size_t>(digit) <= text.size();
      out += given ? kDigits[bits >> (18U - 6U * static_cast<unsigned>(digit)) & 63U] : '=';
    }
  }
  return out;
}

inline std::string FromBase64(const std::string& text) {
  std::string out;
  unsigned bits = 0;
  int count = 0;
  for (const char one : text) {
    int digit = -1;
    if (one >= 'A' && one <= 'Z') digit = one - 'A';
    if (one >= 'a' && one <= 'z') digit = one - 'a' + 26;
    if (one >= '0' && one <= '9') digit = one - '0' + 52;
    if (one == '+') digit = 62;
    if (one == '/') digit = 63;
    if (digit < 0) {
      continue;
    }
    bits = bits << 6U | static_cast<unsigned>(digit);
    if ((count += 6) >= 8) {
      count -= 8;
      out += static_cast<char>(bits >> static_cast<unsigned>(count) & 255U);
    }
  }
  return out;
}

/** Speaks /rows-tx, /rows-get and /rows-feed as PROTOCOL tells, and can come back from a copy of itself. */
class Store {
 public:
  explicit Store(Address address)
      : address(address),
        server(address, [this](Stream& stream, const Message& request) { return this->Serve(stream, request); }) {}

  bool Open() { return this->server.Open(); }
  [[nodiscard]] const Address& Where() const { return this->address; }

  /** A write by the operator or an endpoint; false while the store is away. */
  bool Write(const std::string& table, const std::string& key, const std::optional<std::string>& value) {
    if (!this->server.IsOpen()) {
      return false;
    }
    Sleep(kTxMs);
    const std::lock_guard lock(this->mutex);
    if (!this->server.IsOpen()) {
      return false;
    }
    this->Commit({{{table, key}, value}});
    Log().Line("store: Ver " + std::to_string(this->state.version) + " era " + std::to_string(this->era) + " " + table +
               '/' + key + (value ? " = " + value->substr(0, 160) : " removed"));
    return true;
  }

  /** Retries a write until it is confirmed; returns the time of the confirmation. */
  std::int64_t WriteSurely(const std::string& table, const std::string& key, const std::optional<std::string>& value) {
    while (!this->Write(table, key, value)) {
      Sleep(20);
    }
    return NowMs();
  }

  void TakeCopy() {
    const std::lock_guard lock(this->mutex);
    this->copy = this->state;
    Log().Say("store: a copy is taken at Ver " + std::to_string(this->state.version));
  }

  void GoAway() {
    Log().Say("store: goes away at Ver " + std::to_string(this->Version()));
    this->server.Stop();
  }

  bool ComeBack(bool from_copy) {
    {
      const std::lock_guard lock(this->mutex);
      if (from_copy) {
        this->state = this->copy;
        ++this->era;
      }
    }
    Log().Say("store: is back at Ver " + std::to_string(this->Version()) + ", Store-Era " + std::to_string(this->era));
    return this->server.Open();
  }

  [[nodiscard]] std::uint64_t Version() {
    const std::lock_guard lock(this->mutex);
    return this->state.version;
  }
  [[nodiscard]] int Era() {
    const std::lock_guard lock(this->mutex);
    return this->era;
  }
  [[nodiscard]] std::optional<std::string> Read(const std::string& table, const std::string& key) {
    const std::lock_guard lock(this->mutex);
    const auto row = this->state.rows.find({table, key});
    return row == this->state.rows.end() ? std::nullopt : std::optional{row->second.value};
  }
  [[nodiscard]] std::vector<std::string> Keys(const std::string& table) {
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> keys;
    for (const auto& [place, row] : this->state.rows) {
      if (place.first == table) {
        keys.push_back(place.second);
      }
    }
    return keys;
  }

 private:
  static constexpr int kTxMs = 3;
  using Place = std::pair<std::string, std::string>;
  struct Row {
    std::string value;
    std::uint64_t version{};
  };
  struct Change {
    Place place;
    std::optional<std::string> value;
    std::uint64_t version{};
  };
  struct State {
    std::map<Place, Row> rows;
    std::vector<Change> history;
    std::uint64_t version = 10;
  };

  void Commit(const std::vector<std::pair<Place, std::optional<std::string>>>& entries) {
    ++this->state.version;
    for (const auto& [place, value] : entries) {
      if (value) {
        this->state.rows[place] = {*value, this->state.version};
        this->state.history.push_back({place, value, this->state.version});
      } else if (this->state.rows.erase(place) > 0) {
        this->state.history.push_back({place, std::nullopt, this->state.version});
      }
    }
    this->changed.notify_all();
  }

  static json RowOf(const Place& place, const std::string& value, std::uint64_t version) {
    return {{"TableName", place.first}, {"part", ""}, {"Key", place.second}, {"Value", ToBase64(value)}, {"Ver", version}};
  }

  bool Answer(Stream& stream, int status, json body, int era_now) {
    body["Now"] = std::to_string(NowMs()) + "ms";
    return stream.Send(Encode("HTTP/1.1 " + std::to_string(status) + " -",
                              {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era_now)}},
                              body.dump()));
  }

  bool Serve(Stream& stream, const Message& request) {
    Sleep(kTxMs);
    const std::string path = request.Path();
    auto query = request.Query();
    std::unique_lock lock(this->mutex);
    const int era_now = this->era;
    int status = 200;
    json body = json::object();
    if (path == "/rows-tx") {
      status = this->Transact(json::parse(request.body), body);
    } else if (path == "/rows-get") {
      this->Get(query, body);
    } else if (path == "/rows-feed") {
      status = this->Feed(query, lock, body);
    } else {
      status = 404;
    }
    body["Ver"] = this->state.version;
    if (era_now != this->era) {
      return false;
    }
    lock.unlock();
    return this->Answer(stream, status, std::move(body), era_now);
  }

  int Transact(const json& call, json& body) {
    json conflicts = json::array();
    for (const json& expected : call.value("ExpectedRev", json::array())) {
      const Place place{expected.at("TableName"), expected.at("Key")};
      const auto row = this->state.rows.find(place);
      const std::uint64_t found = row == this->state.rows.end() ? 0 : row->second.version;
      if (found != expected.at("Ver").get<std::uint64_t>() && found != 0) {
        conflicts.push_back(RowOf(place, row->second.value, found));
      } else if (found != expected.at("Ver").get<std::uint64_t>()) {
        conflicts.push_back({{"TableName", place.first}, {"part", ""}, {"Key", place.second}, {"Value", ""}, {"Ver", 0}});
      }
    }
    if (!conflicts.empty()) {
      body["Rows"] = conflicts;
      return 412;
    }
    std::vector<std::pair<Place, std::optional<std::string>>> entries;
    for (const json& write : call.value("Writes", json::array())) {
      entries.push_back({{write.at("TableName"), write.at("Key")}, FromBase64(write.at("Value"))});
    }
    for (const json& removed : call.value("Remove", json::array())) {
      entries.push_back({{removed.at("TableName"), removed.at("Key")}, std::nullopt});
    }
    for (const auto& [place, value] : entries) {
      if (place.first == "op" || place.first == "servers") {
        return 403;
      }
    }
    this->Commit(entries);
    for (const auto& [place, value] : entries) {
      Log().Line("store: Ver " + std::to_string(this->state.version) + " era " + std::to_string(this->era) +
                 " by a daemon: " + place.first + '/' + place.second + (value ? " = " + value->substr(0, 160) : " removed"));
    }
    return 200;
  }

  void Get(std::map<std::string, std::string>& query, json& body) {
    const std::size_t limit = query["Limit"].empty() ? 500 : std::min<std::size_t>(500, std::stoul(query["Limit"]));
    body["Rows"] = json::array();
    body["HasMore"] = false;
    for (auto row = this->state.rows.lower_bound({query["TableName"], query["RangeStart"]});
         row != this->state.rows.end() && row->first.first == query["TableName"]; ++row) {
      if (!query["To"].empty() && row->first.second >= query["To"]) {
        break;
      }
      if (body["Rows"].size() == limit) {
        body["HasMore"] = true;
        break;
      }
      body["Rows"].push_back(RowOf(row->first, row->second.value, row->second.version));
    }
  }

  int Feed(std::map<std::string, std::string>& query, std::unique_lock<std::mutex>& lock, json& body) {
    const std::string table = query["TableName"];
    const std::uint64_t after = std::stoull(query["after"]);
    const int era_now = this->era;
    if (after > this->state.version) {
      return 410;
    }
    const auto changes = [&] {
      json rows = json::array();
      for (const Change& change : this->state.history) {
        if (change.version > after && change.place.first == table) {
          rows.push_back(RowOf(change.place, change.value.value_or(""), change.version));
          if (!change.value) {
            rows.back()["Deleted"] = true;
          }
        }
      }
      return rows;
    };
    const auto until = Clock::now() + milliseconds{std::stoll(query["WaitMs"])};
    json rows = changes();
    while (rows.empty() && era_now == this->era && this->server.IsOpen() &&
           this->changed.wait_until(lock, std::min(until, Clock::now() + milliseconds{50})) == std::cv_status::no_timeout) {
      rows = changes();
    }
    while (rows.empty() && era_now == this->era && this->server.IsOpen() && Clock::now() < until) {
      this->changed.wait_until(lock, std::min(until, Clock::now() + milliseconds{50}));
      rows = changes();
    }
    body["Rows"] = rows;
    return 200;
  }

  Address address;
  std::mutex mutex;
  std::condition_variable changed;
  State state;
  State copy;
  int era = 1;
  Server server;
};

// ---------------------------------------------------------------------------------------------------
// Endpoints

struct Run {
  std::int64_t at{};
  std::string id;
  std::string endpoint;
  std::string service;
  std::string zone;
  std::string path;
  std::string version;
};

/** All requests that endpoints began to work on. */
class Runs {
 public:
  void Add(const Run& run) {
    const std::lock_guard lock(this->mutex);
    this->all.push_back(run);
  }
  [[nodiscard]] std::vector<Run> All() {
    const std::lock_guard lock(this->mutex);
    return this->all;
  }
  void AddFailure(std::int64_t at, const std::string& version) {
    const std::lock_guard lock(this->mutex);
    this->failures.emplace_back(at, version);
  }
  /** Times of the failures that endpoints of a version answered. */
  [[nodiscard]] std::vector<std::int64_t> FailuresOf(const std::string& version) {
    const std::lock_guard lock(this->mutex);
    std::vector<std::int64_t> times;
    for (const auto& [at, of] : this->failures) {
      if (of == version) {
        times.push_back(at);
      }
    }
    return times;
  }

 private:
  std::mutex mutex;
  std::vector<Run> all;
  std::vector<std::pair<std::int64_t, std::string>> failures;
};

inline Runs& AllRuns() {
  static Runs runs;
  return runs;
}

/** One endpoint: registers itself in the store, once more when the store has come back without its row. */
class Endpoint {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone;
    Address address;
    std::string version = "v1";
    int slots = 6;
    int work_ms = 20;
    std::int64_t warm_ms = 0;
    /** Of each hundred requests that it runs, so many end with a 500. */
    int fails_percent = 0;
  };

  Endpoint(Store& store, Options options)
      : store(store),
        options(std::move(options)),
        server(this->options.address,
               [this](Stream& stream, const Message& request) { return this->Serve(stream, request); }) {}
  ~Endpoint() {
    this->stops = true;
    if (this->heart.joinable()) {
      this->heart.join();
    }
    this->server.Stop();
  }

  bool Start() {
    this->started = NowMs();
    if (!this->server.Open()) {
      return false;
    }
    this->heart = std::thread([this] { this->Beat(); });
    return true;
  }

  void SetState(const std::string& now_state) {
    const std::lock_guard lock(this->mutex);
    this->state = now_state;
  }
  [[nodiscard]] const Options& About() const { return this->options; }
  [[nodiscard]] int RunCount() const { return this->runs; }

 private:
  static constexpr int kHeartbeatMs = 1500;

  std::string Entry() {
    const std::lock_guard lock(this->mutex);
    const std::int64_t warm = std::max<std::int64_t>(0, this->options.warm_ms - (NowMs() - this->started));
    return json{{"Address", this->options.address.Text()},
                {"Info",
                 {{"Service", this->options.service},
                  {"Version", this->options.version},
                  {"Zone", this->options.zone},
                  {"Slots", this->options.slots}}},
                {"Status",
                 {{"State", this->state}, {"Seq", this->seq}, {"WarmupLeft", std::to_string(warm) + "ms"}}}}
        .dump();
  }

  /** The entry changes when more than Seq changes; it is written at once when the store's era has risen. */
  void Beat() {
    std::string told;
    int told_era = 0;
    std::int64_t next = 0;
    while (!this->stops) {
      const bool due = NowMs() >= next;
      const int era = this->store.Era();
      std::string entry = this->Entry();
      if ((due || era != told_era) && (entry != told || era != told_era)) {
        if (this->store.Write("servers", this->options.id, entry)) {
          told = entry;
          told_era = era;
        }
      }
      if (due) {
        next = NowMs() + kHeartbeatMs;
      }
      Sleep(30);
    }
  }

  bool Serve(Stream& stream, const Message& request) {
    const std::string load = std::to_string(this->busy.load()) + ",0," + std::to_string(this->options.slots) + ",100";
    if (request.Path() == "/health") {
      return stream.Send(Encode("HTTP/1.1 200 OK",
                                {{"Trefoilbend-Instance-Id", this->options.id}, {"Trefoilbend-Server-Load", load}}, ""));
    }
    const std::string id = Find(request.fields, "Trefoilbend-Request-Id");
    const std::string expected = Find(request.fields, "Trefoilbend-Expect-Instance");
    if (!expected.empty() && expected != this->options.id) {
      return stream.Send(Encode("HTTP/1.1 421 Misdirected Request",
                                {{"Trefoilbend-Request-Id", id}, {"Trefoilbend-Instance-Id", this->options.id}}, ""));
    }
    ++this->busy;
    ++this->runs;
    AllRuns().Add({NowMs(), id, this->options.id, this->options.service, this->options.zone, request.Path(),
                   this->options.version});
    Log().Line("run: " + id + " " + request.Path() + " by " + this->options.id + " (" + this->options.service + ", " +
               this->options.zone + ")");
    Sleep(this->options.work_ms);
    --this->busy;
    const bool fails = this->runs * 61 % 100 < this->options.fails_percent;
    if (fails) {
      AllRuns().AddFailure(NowMs(), this->options.version);
    }
    return stream.Send(Encode(fails ? "HTTP/1.1 500 Internal Server Error" : "HTTP/1.1 200 OK",
                              {{"Trefoilbend-Request-Id", id},
                               {"Trefoilbend-Server-Signature", "s." + this->options.id + "." + id},
                               {"Trefoilbend-Server-Load", load}},
                              "answer to " + id + " by " + this->options.id));
  }

  Store& store;
  Options options;
  Server server;
  std::thread heart;
  std::mutex mutex;
  std::string state = "ready";
  int seq = 1;
  std::int64_t started = 0;
  std::atomic<bool> stops{false};
  std::atomic<int> busy{0};
  std::atomic<int> runs{0};
};

// ---------------------------------------------------------------------------------------------------
// The operator

struct Route {
  std::string name;
  std::string prefix;
  std::string kind;
  std::string service;
  int timeout_ms = 2000;
};

inline constexpr const char* kHost = "shop.example";

inline std::string DesiredState(unsigned version, const std::vector<Route>& routes,
                                const std::vector<std::string>& services) {
  char number[16];
  std::snprintf(number, sizeof number, "%08x", version);
  json rows = json::array();
  for (const Route& route : routes) {
    rows.push_back({route.name, kHost, route.prefix, route.kind, std::to_string(route.timeout_ms) + "ms", "200ms", 1,
                    route.service, 2, nullptr});
  }
  json listed = json::array();
  for (const std::string& service : services) {
    listed.push_back({service, "/health", 220, "h1", false, "3s", 25.0});
  }
  return json{{"Version", number},
              {"Routes",
               {{"Columns",
                 {"Name", "Hostname", "Prefix", "RouteType", "Timeout", "TargetLatency", "Priority", "Service",
                  "Attempts", "TrafficSplit"}},
                {"Rows", rows}}},
              {"Services",
               {{"Columns", {"Name", "HealthPath", "MaxConns", "Protocol", "Tls", "Warmup", "WarmupPerS"}},
                {"Rows", listed}}},
              {"Limits",
               {{"MaxHeaderBytes", 16384},
                {"MaxBodyBytes", 67108864},
                {"HeaderTimeout", "3000ms"},
                {"IdleTimeout", "15000ms"}}}}
      .dump();
}

// ---------------------------------------------------------------------------------------------------
// Daemons

/** Fills a template as DEPLOY tells: values, and sections that stand if there is a value or for each entry. */
inline std::string Render(const std::string& text, const json& fields, const json* current = nullptr) {
  const auto lookup = [&](const std::string& name) -> const json* {
    if (name == ".") {
      return current;
    }
    const json* at = &fields;
    std::stringstream parts{name};
    for (std::string part; std::getline(parts, part, '.');) {
      if (at->is_object() && at->contains(part)) {
        at = &at->at(part);
      } else if (at->is_array() && std::stoul(part) < at->size()) {
        at = &at->at(std::stoul(part));
      } else {
        return nullptr;
      }
    }
    return at;
  };
  std::string out;
  std::size_t at = 0;
  for (;;) {
    const auto open = text.find("{{", at);
    if (open == std::string::npos) {
      return out + text.substr(at);
    }
    out += text.substr(at, open - at);
    const auto shut = text.find("}}", open);
    std::string name = text.substr(open + 2, shut - open - 2);
    at = shut + 2;
    if (name[0] == '#') {
      name.erase(0, 1);
      const std::string end_mark = "{{/" + name + "}}";
      const auto end = text.find(end_mark, at);
      const std::string inner = text.substr(at, end - at);
      at = end + end_mark.size();
      const json* value = lookup(name);
      if (value != nullptr && value->is_array()) {
        for (const json& one : *value) {
          out += Render(inner, fields, &one);
        }
      } else if (value != nullptr && !value->is_null() && *value != false) {
        out += Render(inner, fields, value);
      }
      continue;
    }
    if (const json* value = lookup(name)) {
      out += value->is_string() ? value->get<std::string>() : value->dump();
    }
  }
}

/** Root of the repository and the folder of the case, from the environment that run.sh sets. */
inline std::string Root() { return std::getenv("REVIEW_ROOT") == nullptr ? "." : std::getenv("REVIEW_ROOT"); }

class Daemon {
 public:
  struct Options {
    std::string name;
    std::string zone;
    std::string ip;
    std::vector<std::string> seeds;
    Address store;
  };

  Daemon(Options options, std::string folder) : options(std::move(options)), folder(std::move(folder)) {}
  ~Daemon() { this->Kill(); }

  void Start() {
    const std::string ini = this->folder + '/' + this->options.name + ".ini";
    std::ifstream in{Root() + "/deploy/entry.ini"};
    std::stringstream text;
    text << in.rdbuf();
    std::ofstream{ini} << Render(text.str(), this->Fields());
    const std::string log = this->folder + '/' + this->options.name + ".log";
    const std::string program = Root() + "/target/apps/trefoilbend/trefoilbend";
    const pid_t parent = getpid();
    this->pid = fork();
    if (this->pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent || chdir(Root().c_str()) != 0) {
        _exit(127);
      }
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      execl(program.c_str(), program.c_str(), "--settings", ini.c_str(), nullptr);
      _exit(127);
    }
    Log().Say("daemon " + this->options.name + " starts");
  }

  void Signal(int signal) {
    if (this->pid > 0) {
      kill(this->pid, signal);
    }
  }
  void Kill() {
    if (this->pid > 0) {
      kill(this->pid, SIGKILL);
      waitpid(this->pid, nullptr, 0);
      this->pid = -1;
    }
  }
  /** Whether the process has ended by itself. */
  [[nodiscard]] bool HasEnded() {
    if (this->pid > 0 && waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
      this->pid = -1;
    }
    return this->pid <= 0;
  }
  bool AwaitEnd(std::int64_t limit_ms) {
    const std::int64_t until = NowMs() + limit_ms;
    while (!this->HasEnded() && NowMs() < until) {
      Sleep(10);
    }
    return this->pid <= 0;
  }

  [[nodiscard]] Address Front() const { return {this->options.ip, 8144}; }
  [[nodiscard]] Address Directory() const { return {this->options.ip, 8143}; }
  [[nodiscard]] const std::string& Name() const { return this->options.name; }
  [[nodiscard]] const std::string& Zone() const { return this->options.zone; }
  [[nodiscard]] bool IsReady() const {
    const auto stream = Stream::Connect({this->options.ip, 8140}, 500);
    if (!stream || !stream->Send("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")) {
      return false;
    }
    const auto answer = stream->Read(NowMs() + 500);
    return answer && answer->Status() == 200;
  }

 private:
  [[nodiscard]] json Fields() const {
    const std::string& ip = this->options.ip;
    return {{"Node", this->options.name},
            {"Role", "entry"},
            {"Ip", ip},
            {"Zone", this->options.zone},
            {"Region", "gt-occidente"},
            {"PortRange", {7660, 7675}},
            {"Seeds", this->options.seeds},
            {"Listen",
             {{"Front", ip + ":8144"},
              {"Ready", ip + ":8140"},
              {"Control", ip + ":8146"},
              {"Directory", ip + ":8143"}}},
            {"Limits", {{"CpuShare", 0.2}, {"Cores", 1}, {"MemoryMb", 260}, {"MaxFds", 4100}}},
            {"Bounds", {{"Grace", "6s"}, {"RetryBudgetExtra", 58}, {"BudgetWindow", "10s"}}},
            {"Provider", {{"Address", this->options.store.Text()}}}};
  }

  Options options;
  std::string folder;
  pid_t pid = -1;
};

// ---------------------------------------------------------------------------------------------------
// Clients

struct Call {
  std::string id;
  std::string path;
  std::string daemon;
  std::int64_t sent{};
  std::int64_t ended{};
  int status{};      // 0: no answer
  std::string by{};  // endpoint of the signature
};

/** Clients that send requests of one path to daemons in turn, each over a connection of its own that is kept. */
class Clients {
 public:
  Clients(std::vector<Daemon*> daemons, std::string name, std::string path, std::string method, int gap_ms,
          int deadline_ms = 2000)
      : daemons(std::move(daemons)),
        name(std::move(name)),
        path(std::move(path)),
        method(std::move(method)),
        gap_ms(gap_ms),
        deadline_ms(deadline_ms) {}
  ~Clients() { this->Stop(); }

  void Start() {
    for (Daemon* daemon : this->daemons) {
      this->threads.emplace_back([this, daemon] { this->Loop(*daemon); });
    }
  }
  void Stop() {
    this->stops = true;
    for (auto& thread : this->threads) {
      thread.join();
    }
    this->threads.clear();
  }
  [[nodiscard]] std::vector<Call> All() {
    const std::lock_guard lock(this->mutex);
    return this->calls;
  }

 private:
  void Loop(Daemon& daemon) {
    std::shared_ptr<Stream> stream;
    int number = 0;
    while (!this->stops) {
      Call call{.id = this->name + '-' + daemon.Name() + '-' + std::to_string(++number),
                .path = this->path + std::to_string(number),
                .daemon = daemon.Name()};
      if (stream && !stream->IsQuiet()) {
        stream.reset();
      }
      if (!stream) {
        stream = Stream::Connect(daemon.Front(), 1000);
      }
      call.sent = NowMs();
      std::optional<Message> answer;
      if (stream && stream->Send(Encode(this->method + ' ' + call.path + " HTTP/1.1",
                                        {{"Host", kHost},
                                         {"Trefoilbend-Request-Id", call.id},
                                         {"Trefoilbend-Deadline-Ms", std::to_string(this->deadline_ms)}},
                                        ""))) {
        answer = stream->Read(NowMs() + this->deadline_ms);
      }
      call.ended = NowMs();
      if (answer) {
        call.status = answer->Status();
        const std::string signature = Find(answer->fields, "Trefoilbend-Server-Signature");
        if (signature.size() > 2) {
          call.by = signature.substr(2, signature.find('.', 2) - 2);
        }
      }
      if (!answer || SameName(Find(answer->fields, "Connection"), "close")) {
        stream.reset();
      }
      Log().Line("call: " + call.id + " " + call.path + " to " + call.daemon + ", sent at " + std::to_string(call.sent) +
                 ", " + (answer ? "answered " + std::to_string(call.status) : "no answer") +
                 (call.by.empty() ? "" : " by " + call.by));
      {
        const std::lock_guard lock(this->mutex);
        this->calls.push_back(call);
      }
      Sleep(this->gap_ms);
    }
  }

  std::vector<Daemon*> daemons;
  std::string name;
  std::string path;
  std::string method;
  int gap_ms;
  int deadline_ms;
  std::atomic<bool> stops{false};
  std::vector<std::thread> threads;
  std::mutex mutex;
  std::vector<Call> calls;
};

// ---------------------------------------------------------------------------------------------------
// A case

inline bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string{value} != "0";
}

/** Ends the program at once, and with it the daemons, which die with their parent. */
[[noreturn]] inline void End(int code, std::vector<std::unique_ptr<Daemon>>& daemons, const std::string& folder) {
  for (auto& daemon : daemons) {
    daemon->Kill();
  }
  if (std::getenv("KEEP") == nullptr) {
    [[maybe_unused]] const int ignored = std::system(("rm -rf '" + folder + "'").c_str());
  } else {
    std::printf("kept %s\n", folder.c_str());
  }
  std::fflush(nullptr);
  _exit(code);
}

inline std::string MakeFolder() {
  std::string text = (std::getenv("TMPDIR") == nullptr ? std::string{"/tmp"} : std::string{std::getenv("TMPDIR")}) +
                     "/review-3-XXXXXX";
  return mkdtemp(text.data()) == nullptr ? std::string{"/tmp"} : text;
}

inline void OpenRecord() {
  signal(SIGPIPE, SIG_IGN);
  const char* folder = std::getenv("REVIEW_CASE");
  Log().Open(std::string{folder == nullptr ? "." : folder} + "/record.txt");
}

/** Makes daemons in the given zones, and starts them. */
inline std::vector<std::unique_ptr<Daemon>> StartDaemons(const Network& network, const std::vector<std::string>& zones,
                                                         const Address& store, const std::string& folder) {
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<std::string> seeds;
  for (std::size_t at = 0; at < std::min<std::size_t>(3, zones.size()); ++at) {
    seeds.push_back(network.Ip(static_cast<int>(at) + 1) + ":8146");
  }
  for (std::size_t at = 0; at < zones.size(); ++at) {
    daemons.push_back(std::make_unique<Daemon>(Daemon::Options{.name = "edge-" + std::to_string(at + 1),
                                                               .zone = zones[at],
                                                               .ip = network.Ip(static_cast<int>(at) + 1),
                                                               .seeds = seeds,
                                                               .store = store},
                                               folder));
    daemons.back()->Start();
  }
  return daemons;
}

inline bool AwaitReady(const std::vector<std::unique_ptr<Daemon>>& daemons, std::int64_t limit_ms) {
  const std::int64_t until = NowMs() + limit_ms;
  for (const auto& daemon : daemons) {
    while (!daemon->IsReady()) {
      if (NowMs() > until) {
        return false;
      }
      Sleep(50);
    }
  }
  return true;
}

}  // namespace stage

#endif  // REVIEW_LIB_3_STAGE_HPP_
