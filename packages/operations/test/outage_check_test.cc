#include "trefoilbend/operations/outage_check.h"

#include <boost/test/unit_test.hpp>
#include <memory>

namespace trefoilbend::operations {

namespace {

struct Fixture {
  inventory::Configuration::Builder objects;
  std::vector<platform::ListedInstance> listed;

  void AddTarget(const std::string& name, const std::string& data_centre) {
    this->objects.Put(inventory::DataCentre{
        .name = core::DataCentreName{data_centre}, .region = {}});
    this->objects.Put(
        inventory::Service{.name = core::ServiceName{"stock"}, .version = {}});
    this->objects.Put(
        inventory::Instance{.name = core::InstanceName{name},
                            .data_centre = core::DataCentreName{data_centre},
                            .service = core::ServiceName{"stock"},
                            .slots = 6});
    this->listed.push_back({.name = core::InstanceName{name}});
  }

  [[nodiscard]] RemainingService Assess(
      const std::string& data_centre,
      const std::optional<std::uint64_t> calls) {
    const configuration::Update update{
        .configuration = this->objects.Build(),
        .listed = std::make_shared<const std::vector<platform::ListedInstance>>(
            this->listed)};
    const auto touched =
        AssessOutage(update, core::DataCentreName{data_centre}, calls);
    return touched.empty() ? RemainingService{} : touched.front();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(the_check_before_an_outage, Fixture)

BOOST_AUTO_TEST_SUITE(of_one_data_centre_of_three)

BOOST_AUTO_TEST_CASE(passes_while_the_others_have_room) {
  AddTarget("stock-1", "xela-1");
  AddTarget("stock-2", "xela-2");
  AddTarget("stock-3", "xela-3");
  const RemainingService left = Assess("xela-1", 9);
  BOOST_TEST(left.slots_now == 18U);
  BOOST_TEST(left.slots_left == 12U);
  BOOST_TEST(left.slots_needed == 12U);
  BOOST_TEST(left.Bears());
}

BOOST_AUTO_TEST_CASE(fails_when_the_others_would_be_full) {
  AddTarget("stock-1", "xela-1");
  AddTarget("stock-2", "xela-2");
  AddTarget("stock-3", "xela-3");
  BOOST_TEST(!Assess("xela-1", 10).Bears());
}

BOOST_AUTO_TEST_CASE(fails_when_the_load_is_unknown) {
  AddTarget("stock-1", "xela-1");
  AddTarget("stock-2", "xela-2");
  BOOST_TEST(!Assess("xela-1", std::nullopt).Bears());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_the_last_data_centre_in_service)

BOOST_AUTO_TEST_CASE(fails_even_without_load) {
  AddTarget("stock-1", "xela-1");
  AddTarget("stock-2", "xela-2");
  objects.Put(inventory::Outage{core::DataCentreName{"xela-2"}});
  BOOST_TEST(!Assess("xela-1", 0).Bears());
}

BOOST_AUTO_TEST_CASE(does_not_count_targets_that_are_not_live) {
  AddTarget("stock-1", "xela-1");
  AddTarget("stock-2", "xela-2");
  listed.back().state = platform::InstanceState::kLeaving;
  BOOST_TEST(!Assess("xela-1", 0).Bears());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::operations
