// The store comes back from a copy; the order of a release gets a version that daemons know already, so
// that they never hear of it and take the endpoints of the new, bad version for ordinary ones.
#include "stage.hpp"

using namespace stage;

int main() {
  OpenRecord();
  const bool trouble = HasTrouble();
  const Network network;
  const std::string folder = MakeFolder();
  std::vector<std::unique_ptr<Daemon>> daemons;
  Store store{{network.Ip(200), 8142}};
  if (!store.Open()) {
    End(kCouldNotRun, daemons, folder);
  }
  const std::vector<std::string> services{"stock"};
  const auto state = [&](unsigned version, int timeout_ms) {
    return DesiredState(version,
                        {{"r-look", "/look/", "idempotent", "stock", timeout_ms},
                         {"r-book", "/book/", "non_idempotent", "stock", timeout_ms}},
                        services);
  };
  store.WriteSurely("op", "config", state(1, 2'000));
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  const auto add = [&](const std::string& version, int number, std::int64_t warm_ms, int fails_percent) {
    endpoints.push_back(std::make_unique<Endpoint>(
        store, Endpoint::Options{.id = "i-" + version + '-' + std::to_string(number),
                                 .service = "stock",
                                 .zone = number % 2 == 1 ? "zone-a" : "zone-b",
                                 .address = {network.Ip(20 + static_cast<int>(endpoints.size())), 8200},
                                 .version = version,
                                 .work_ms = 75,
                                 .warm_ms = warm_ms,
                                 .fails_percent = fails_percent}));
    return endpoints.back()->Start();
  };
  bool started = true;
  for (int number = 1; number <= 4; ++number) {
    started = add("v1", number, 0, 0) && started;
  }
  daemons = StartDaemons(network, {"zone-a", "zone-b", "zone-a"}, store.Where(), folder);
  if (!started || !AwaitReady(daemons, 15'000)) {
    Log().Say("could not run: the daemons do not get ready");
    End(kCouldNotRun, daemons, folder);
  }
  std::vector<Daemon*> all;
  for (const auto& daemon : daemons) {
    all.push_back(daemon.get());
  }
  // About six of ten slots of the old version are busy.
  std::vector<std::unique_ptr<Clients>> lookups;
  for (const char* name : {"a", "b", "c", "d"}) {
    lookups.push_back(std::make_unique<Clients>(all, std::string{"look-"} + name, "/look/", "GET", 20));
  }
  for (const char* name : {"e", "f"}) {
    lookups.push_back(std::make_unique<Clients>(all, std::string{"book-"} + name, "/book/", "POST", 20));
  }
  for (const auto& clients : lookups) {
    clients->Start();
  }
  Sleep(4'000);

  // Two changes of the desired state that the copy does not hold.
  store.TakeCopy();
  Sleep(500);
  store.WriteSurely("op", "config", state(2, 1'800));
  Sleep(1'500);
  store.WriteSurely("op", "config", state(3, 1'500));
  Sleep(1'500);
  std::int64_t back = 0;
  if (trouble) {
    store.GoAway();
    Sleep(1'000);
    store.ComeBack(true);
    back = NowMs();
  } else {
    Sleep(1'000);
  }
  // The operator, who could not write while the store was away, orders the release, and writes again what
  // is lost; the endpoints do so by themselves. Those of the new version start once it is ordered.
  constexpr std::int64_t kDuration = 16'000;
  const std::int64_t ordered =
      store.WriteSurely("op", "rollout/stock", json{{"Service", "stock"}, {"To", "v2"}, {"Duration", "16s"}}.dump());
  Log().Say("operator: the release of v2 is confirmed at " + std::to_string(ordered) + " ms");
  if (trouble) {
    store.WriteSurely("op", "config", state(3, 1'500));
  }
  Sleep(2'000);
  for (int number = 1; number <= 4; ++number) {
    started = add("v2", number, 3'000, 50) && started;
  }
  if (!started) {
    End(kCouldNotRun, daemons, folder);
  }
  while (NowMs() < ordered + kDuration) {
    Sleep(50);
  }
  for (const auto& clients : lookups) {
    clients->Stop();
  }

  // Counted are all requests from the order to its time budget; ExposureShare 0.1, ExposureSlack 50.
  int reached = 0;
  int exposed = 0;
  int late = 0;
  // Bad answers count from when the store was last unstable: Contact after its return.
  constexpr std::int64_t kContact = 3'000;
  auto failures = AllRuns().FailuresOf("v2");
  if (trouble) {
    std::erase_if(failures, [&](std::int64_t at) { return at < back + kContact; });
  }
  constexpr std::size_t kBadAnswers = 50;
  constexpr std::int64_t kRollback = 5'000;
  const std::int64_t rollback_by =
      failures.size() < kBadAnswers ? ordered + 1'000'000 : failures[kBadAnswers - 1] + kRollback;
  for (const Run& run : AllRuns().All()) {
    if (run.at < ordered) {
      continue;
    }
    ++reached;
    exposed += run.version == "v2" ? 1 : 0;
    // A second more, as the time of sending is not that of the run.
    late += run.version == "v2" && run.at > rollback_by + 1'000 ? 1 : 0;
  }
  int bookings = 0;
  int lost = 0;
  for (const auto& clients : lookups) {
    for (const Call& call : clients->All()) {
      const bool counts = call.sent >= ordered && call.path.starts_with("/book/");
      bookings += counts ? 1 : 0;
      lost += counts && call.status != 200 ? 1 : 0;
    }
  }
  Log().Say("bookings sent from the order on: " + std::to_string(bookings) + ", failed: " + std::to_string(lost));
  const int allowed = reached / 10 + 50;
  const auto status = store.Read("status", "rollout/stock");
  Log().Say("requests at the service from the order to its time budget: " + std::to_string(reached) +
            "; at the bad version: " + std::to_string(exposed) + ", allowed " + std::to_string(allowed) +
            "; bad answers: " + std::to_string(failures.size()) + "; later than Rollback after the 50th: " +
            std::to_string(late) + "; status: " + status.value_or("none"));
  if (reached < 500) {
    End(kCouldNotRun, daemons, folder);
  }
  const bool broken = exposed > allowed || late > 0;
  Log().Say(broken ? "EXPOSURE is broken" : "EXPOSURE held");
  End(broken ? kBroken : kHeld, daemons, folder);
}
