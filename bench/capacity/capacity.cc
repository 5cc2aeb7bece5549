#include <malloc.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "deployment.h"
#include "trefoilbend/balancing/dispatcher.h"
#include "trefoilbend/configuration/follower.h"
#include "trefoilbend/core/ring.h"
#include "trefoilbend/discovery/directory.h"
#include "trefoilbend/inventory/codec.h"

namespace trefoilbend::bench {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int kRounds = 9;
constexpr std::array<Size, 4> kSizes{
    {{870, 57, 19}, {2'900, 190, 19}, {8'700, 570, 19}, {8'700, 570, 200}}};

void Figure(const std::string& name, const double value, const char* unit) {
  std::printf("figure %s %.3g %s\n", name.c_str(), value, unit);
}

std::string Suffix(const Size& size) {
  return '_' + std::to_string(size.targets) + "_targets_" +
         std::to_string(size.entries) + "_entries";
}

std::size_t BytesInUse() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/** Median time of a run, in nanoseconds for one of its operations. */
double MedianTime(const std::size_t operations,
                  const std::function<void()>& run) {
  std::vector<double> times;
  for (int round = 0; round < kRounds; ++round) {
    const auto start = Clock::now();
    run();
    times.push_back(
        std::chrono::duration<double, std::nano>(Clock::now() - start).count() /
        static_cast<double>(operations));
  }
  std::sort(times.begin(), times.end());
  return times[kRounds / 2];
}

template <typename Value>
void Keep(const Value& value) {
  asm volatile("" : : "g"(&value) : "memory");
}

/** Gives a dispatcher two updates in turn, which differ in one thing. */
void MeasureUpdate(const std::string& name, const Size& size,
                   const configuration::Update& one,
                   const configuration::Update& other) {
  constexpr double kMicrosecond = 1'000;
  constexpr std::size_t kUpdates = 2;
  balancing::Dispatcher dispatcher{
      balancing::DispatcherOptions{.self = core::InstanceName{"entry-1"}}};
  Figure("dispatcher_" + name + Suffix(size),
         MedianTime(kUpdates,
                    [&] {
                      Keep(dispatcher.Configure(one, core::TimePoint{}));
                      Keep(dispatcher.Configure(other, core::TimePoint{}));
                    }) /
             kMicrosecond,
         "us");
}

configuration::InstanceList Without(const configuration::InstanceList& listed,
                                    const std::size_t position) {
  auto fewer = std::make_shared<std::vector<platform::ListedInstance>>(*listed);
  fewer->erase(fewer->begin() + static_cast<std::ptrdiff_t>(position));
  return fewer;
}

void MeasureUpdates(const Size& size) {
  const inventory::ConfigurationPtr whole = Describe(size).Build();
  const configuration::InstanceList listed = ListAll(size);
  inventory::Configuration::Builder builder{*whole};
  const inventory::ConfigurationPtr changed =
      builder.Apply(MakeRevised(core::Revision{1}, 1, size)).Build();
  MeasureUpdate("one_target_changes", size, {whole, listed}, {changed, listed});
  MeasureUpdate("one_target_leaves", size, {whole, listed},
                {whole, Without(listed, size.targets / 2)});
  MeasureUpdate("one_entry_leaves", size, {whole, listed},
                {whole, Without(listed, size.targets + 2)});
}

void MeasureConfiguration(const Size& size) {
  constexpr double kMicrosecond = 1'000;
  const std::size_t before = BytesInUse();
  const inventory::ConfigurationPtr whole = Describe(size).Build();
  Figure("configuration_bytes" + Suffix(size),
         static_cast<double>(BytesInUse() - before), "B");
  const std::size_t before_list = BytesInUse();
  const configuration::InstanceList listed = ListAll(size);
  Figure("list_bytes" + Suffix(size),
         static_cast<double>(BytesInUse() - before_list), "B");
  const inventory::Revised revised = MakeRevised(core::Revision{1}, 1, size);
  Figure("apply_delta" + Suffix(size),
         MedianTime(1,
                    [&] {
                      inventory::Configuration::Builder builder{*whole};
                      Keep(builder.Apply(revised).Build());
                    }) /
             kMicrosecond,
         "us");
  balancing::Dispatcher dispatcher{balancing::DispatcherOptions{}};
  const std::size_t before_table = BytesInUse();
  (void)dispatcher.Configure({whole, listed}, core::TimePoint{});
  Figure("dispatcher_bytes" + Suffix(size),
         static_cast<double>(BytesInUse() - before_table), "B");
  Figure("dispatcher_configure" + Suffix(size),
         MedianTime(
             1,
             [&] {
               Keep(dispatcher.Configure({whole, listed}, core::TimePoint{}));
             }) /
             kMicrosecond,
         "us");
}

void MeasureRevision(const std::size_t changes) {
  constexpr std::size_t kRepeats = 20;
  const std::string text = inventory::Encode(
      MakeRevised(core::Revision{1}, changes, kSizes.front()));
  const std::string suffix = '_' + std::to_string(changes) + "_changes";
  Figure("revision_bytes" + suffix, static_cast<double>(text.size()), "B");
  Figure("revision_decode" + suffix,
         MedianTime(kRepeats,
                    [&] {
                      for (std::size_t i = 0; i < kRepeats; ++i) {
                        Keep(inventory::DecodeRevised(text));
                      }
                    }) /
             1'000,
         "us");
}

void MeasureDirectory(const std::size_t entries) {
  constexpr std::size_t kAnswers = 2'000;
  const Size size{.targets = 100, .services = 10, .entries = entries};
  discovery::Directory directory{discovery::DirectoryOptions{}};
  directory.Configure({Describe(size).Build(), ListAll(size)});
  Figure(
      "discovery_answer_" + std::to_string(entries) + "_entries",
      MedianTime(kAnswers,
                 [&] {
                   for (std::size_t i = 0; i < kAnswers; ++i) {
                     Keep(directory.Resolve(
                         {.caller = std::to_string(i),
                          .data_centre = core::DataCentreName{"data-centre-1"}},
                         idempotency::IssueTime{}));
                   }
                 }) /
          1'000,
      "us");
}

void MeasureDecision(const std::size_t targets) {
  constexpr std::size_t kCalls = 5'000;
  const Size size{.targets = targets, .services = 1, .entries = 19};
  balancing::Dispatcher dispatcher{balancing::DispatcherOptions{}};
  const core::TimePoint now{std::chrono::seconds{10}};
  (void)dispatcher.Configure({Describe(size).Build(), ListAll(size)}, now);
  auto request = std::make_shared<core::CallRequest>();
  request->service = core::ServiceName{ServiceText(0)};
  request->idempotent = true;
  request->deadline = now + std::chrono::seconds{1};
  std::uint64_t call = 0;
  std::size_t started = 0;
  const double time = MedianTime(kCalls, [&] {
    for (std::size_t i = 0; i < kCalls; ++i) {
      const core::CallId id{++call};
      for (const balancing::Decision& decision :
           dispatcher.Submit({id, request}, now)) {
        if (const auto* start =
                std::get_if<forwarding::StartExchange>(&decision)) {
          ++started;
          Keep(dispatcher.OnExchangeEnded(
              {.call = id,
               .exchange = start->exchange,
               .target = start->target,
               .result = forwarding::ExchangeResult::kAnswered,
               .status = 200,
               .load = std::nullopt},
              now));
        }
      }
    }
  });
  const std::string suffix = '_' + std::to_string(targets) + "_targets";
  Figure("decision_and_end" + suffix, time, "ns");
  Figure("decisions_started" + suffix,
         static_cast<double>(started) / (kCalls * kRounds), "of_1");
}

void MeasureRing(const std::size_t batch) {
  constexpr std::size_t kBatches = 1'000;
  core::Ring<balancing::FromCallers> ring{batch};
  std::size_t taken = 0;
  const double time = MedianTime(batch * kBatches, [&] {
    for (std::size_t i = 0; i < kBatches; ++i) {
      for (std::size_t j = 0; j < batch; ++j) {
        Keep(ring.TryPush(balancing::CancelCall{}));
      }
      taken +=
          ring.Drain([](balancing::FromCallers&& message) { Keep(message); });
    }
  });
  Keep(taken);
  Figure("ring_message_batch_" + std::to_string(batch), time, "ns");
}

}  // namespace

/** @brief Measures everything and prints one figure a line. */
static void MeasureAll() {
  std::printf("median of %d rounds, no random numbers\n", kRounds);
  for (const Size& size : kSizes) {
    MeasureConfiguration(size);
    MeasureUpdates(size);
  }
  for (const std::size_t changes : {1, 10, 100, 1'000}) {
    MeasureRevision(changes);
  }
  for (const std::size_t entries : {19, 100, 200}) {
    MeasureDirectory(entries);
  }
  for (const std::size_t targets : {5, 15, 60, 200}) {
    MeasureDecision(targets);
  }
  for (const std::size_t batch : {1, 16, 256}) {
    MeasureRing(batch);
  }
}

}  // namespace trefoilbend::bench

int main() {
  trefoilbend::bench::MeasureAll();
  return 0;
}
