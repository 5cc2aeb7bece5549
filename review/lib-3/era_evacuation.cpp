// The store comes back from a copy, and what is written first gets versions that daemons know
// already; they go on from their old version without a 410 and never hear of an evacuation.
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
    return DesiredState(version, {{"r-look", "/look/", "idempotent", "stock", timeout_ms}}, services);
  };
  store.WriteSurely("op", "config", state(1, 2'000));
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  bool started = true;
  for (int number = 1; number <= 8; ++number) {
    endpoints.push_back(std::make_unique<Endpoint>(
        store, Endpoint::Options{.id = "i-stock-" + std::to_string(number),
                                 .service = "stock",
                                 .zone = number % 2 == 1 ? "zone-a" : "zone-b",
                                 .address = {network.Ip(20 + number), 8200}}));
    started = endpoints.back()->Start() && started;
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
  Clients lookups{all, "look", "/look/", "GET", 50};
  lookups.Start();
  Sleep(4'000);

  // Two changes of the desired state that the copy does not hold.
  store.TakeCopy();
  Sleep(500);
  store.WriteSurely("op", "config", state(2, 1'800));
  Sleep(1'500);
  store.WriteSurely("op", "config", state(3, 1'500));
  Sleep(1'500);
  if (trouble) {
    store.GoAway();
    Sleep(1'000);
    store.ComeBack(true);
  } else {
    Sleep(1'000);
  }
  // The operator, who could not write while the store was away, empties a zone, and writes again what is
  // lost; the endpoints do so by themselves.
  const std::int64_t confirmed = store.WriteSurely("op", "evacuate/zone-b", "{}");
  Log().Say("operator: the evacuation of zone-b is confirmed at " + std::to_string(confirmed) + " ms");
  if (trouble) {
    store.WriteSurely("op", "config", state(3, 1'500));
  }
  Sleep(25'000);
  lookups.Stop();

  // Evacuate, and SkewMax for a store that was not stable; both count from the confirmation.
  constexpr std::int64_t kEvacuate = 5'000;
  constexpr std::int64_t kSkewMax = 5'000;
  int checked = 0;
  int in_zone = 0;
  std::int64_t last = 0;
  for (const Run& run : AllRuns().All()) {
    if (run.at <= confirmed + kEvacuate + kSkewMax) {
      continue;
    }
    ++checked;
    if (run.zone == "zone-b") {
      ++in_zone;
      last = std::max(last, run.at - confirmed);
    }
  }
  Log().Say("runs later than Evacuate + SkewMax after the confirmation: " + std::to_string(checked) +
            "; of them in the evacuated zone: " + std::to_string(in_zone) + ", the last one " + std::to_string(last) +
            " ms after the confirmation");
  if (checked < 100) {
    End(kCouldNotRun, daemons, folder);
  }
  const bool broken = in_zone > 0;
  Log().Say(broken ? "EVAC is broken" : "EVAC held");
  End(broken ? kBroken : kHeld, daemons, folder);
}
