// The store comes back from a copy some seconds old; the next desired state is never in force.
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
  const std::vector<std::string> services{"stock", "guides"};
  const Route look{"r-look", "/look/", "idempotent", "stock"};
  const auto with_timeout = [&](int ms) {
    Route route = look;
    route.timeout_ms = ms;
    return route;
  };
  store.WriteSurely("op", "config", DesiredState(1, {look}, services));
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  const auto add = [&](const std::string& id, const std::string& service, const std::string& zone, std::int64_t warm) {
    const int host = 20 + static_cast<int>(endpoints.size());
    endpoints.push_back(std::make_unique<Endpoint>(
        store, Endpoint::Options{.id = id, .service = service, .zone = zone, .address = {network.Ip(host), 8200}, .warm_ms = warm}));
    return endpoints.back()->Start();
  };
  bool started = add("i-stock-1", "stock", "zone-a", 0) && add("i-stock-2", "stock", "zone-b", 0) &&
                 add("i-guides-1", "guides", "zone-a", 0) && add("i-guides-2", "guides", "zone-b", 0);
  daemons = StartDaemons(network, {"zone-a", "zone-b", "zone-a"}, store.Where(), folder);
  if (!started || !AwaitReady(daemons, 15'000)) {
    Log().Say("could not run: the daemons do not get ready");
    End(kCouldNotRun, daemons, folder);
  }
  std::vector<Daemon*> all;
  for (const auto& daemon : daemons) {
    all.push_back(daemon.get());
  }
  Clients lookups{all, "look", "/look/", "GET", 80};
  lookups.Start();
  Sleep(4'000);

  // Some seconds of ordinary work, which the copy does not hold: two changes of the desired state, and four
  // endpoints that start, whose entries change with their WarmupLeft.
  store.TakeCopy();
  Sleep(500);
  store.WriteSurely("op", "config", DesiredState(2, {with_timeout(1'800)}, services));
  started = add("i-stock-3", "stock", "zone-a", 3'000) && add("i-stock-4", "stock", "zone-b", 3'000) &&
            add("i-guides-3", "guides", "zone-a", 3'000) && add("i-guides-4", "guides", "zone-b", 3'000);
  if (!started) {
    End(kCouldNotRun, daemons, folder);
  }
  Sleep(1'500);
  store.WriteSurely("op", "config", DesiredState(3, {with_timeout(1'500)}, services));
  Sleep(3'000);
  if (trouble) {
    store.GoAway();
    Sleep(1'000);
    store.ComeBack(true);
    // What the operator wrote is written again; each endpoint writes its entry again by itself.
    store.WriteSurely("op", "config", DesiredState(3, {with_timeout(1'500)}, services));
  } else {
    Sleep(1'000);
  }

  // The store is stable again after Contact (3 s): the next desired state moves a route and adds one.
  Sleep(4'000);
  Route moved = with_timeout(1'500);
  moved.service = "guides";
  const Route added{"r-guide", "/guide/", "idempotent", "guides"};
  const std::int64_t confirmed = store.WriteSurely("op", "config", DesiredState(4, {moved, added}, services));
  Log().Say("operator: version 4 is confirmed at " + std::to_string(confirmed) + " ms");
  Clients guides{all, "guide", "/guide/", "GET", 80};
  guides.Start();
  Sleep(12'000);
  lookups.Stop();
  guides.Stop();

  constexpr std::int64_t kConfigApply = 2'000;
  int checked = 0;
  int by_old = 0;
  int not_found = 0;
  int failed = 0;
  std::int64_t last = 0;
  std::map<std::string, std::string> ran;
  for (const Run& run : AllRuns().All()) {
    ran[run.id] = run.service;
  }
  for (Clients* clients : {&lookups, &guides}) {
    for (const Call& call : clients->All()) {
      if (call.sent <= confirmed + kConfigApply) {
        continue;
      }
      ++checked;
      const bool old = ran.contains(call.id) && ran[call.id] == "stock";
      by_old += old ? 1 : 0;
      not_found += call.status == 404 ? 1 : 0;
      failed += call.status != 200 && call.status != 404 ? 1 : 0;
      if (old || call.status == 404) {
        last = std::max(last, call.sent - confirmed);
      }
    }
  }
  Log().Say("requests sent later than ConfigApply after the confirmation: " + std::to_string(checked) +
            "; run by the old service: " + std::to_string(by_old) + "; 404 on the added route: " +
            std::to_string(not_found) + "; failed otherwise: " + std::to_string(failed) +
            "; the last one " + std::to_string(last) + " ms after the confirmation");
  if (checked < 100) {
    End(kCouldNotRun, daemons, folder);
  }
  const bool broken = by_old + not_found > 0;
  Log().Say(broken ? "CONFIG is broken" : "CONFIG held");
  End(broken ? kBroken : kHeld, daemons, folder);
}
