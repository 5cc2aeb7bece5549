#include "trefoilbend/core/position.h"

#include <boost/test/unit_test.hpp>
#include <concepts>

namespace trefoilbend::core {

namespace {

/** CONFIG, EXPOSURE, EVAC: versions of two eras of the store were compared as
 * plain numbers (review/12 to review/14). That must not compile. */
template <typename Type>
concept Ordered = requires(const Type& a, const Type& b) {
  { a < b } -> std::convertible_to<bool>;
};

static_assert(!Ordered<Position>);
static_assert(!Ordered<RowVersion>);
static_assert(Ordered<Era>);

constexpr Position At(const std::uint64_t era, const std::uint64_t version) {
  return {Era{era}, RowVersion{version}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_position_in_the_history_of_a_store)

BOOST_AUTO_TEST_SUITE(beside_one_of_the_same_era)

BOOST_AUTO_TEST_CASE(comes_first_if_its_version_is_lower) {
  BOOST_TEST(At(1, 7).Precedes(At(1, 8)));
  BOOST_TEST(!At(1, 8).Precedes(At(1, 8)));
  BOOST_TEST(!At(1, 9).Precedes(At(1, 8)));
  BOOST_TEST(At(1, 7).SharesEraWith(At(1, 9)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(beside_one_of_a_later_era)

BOOST_AUTO_TEST_CASE(comes_first_whatever_the_versions) {
  BOOST_TEST(At(1, 100).Precedes(At(2, 40)));
  BOOST_TEST(!At(2, 40).Precedes(At(1, 100)));
  BOOST_TEST(At(1, 100).IsOfEarlierEraThan(At(2, 100)));
  BOOST_TEST((LaterOf(At(1, 100), At(2, 40)) == At(2, 40)));
}

BOOST_AUTO_TEST_CASE(is_another_point_though_the_version_was_given_out_again) {
  BOOST_TEST((At(1, 100) != At(2, 100)));
}

BOOST_AUTO_TEST_CASE(tells_by_its_number_alone_what_a_copy_cannot_hold) {
  BOOST_TEST(At(2, 40).HasLowerNumberThan(At(1, 100)));
  BOOST_TEST(!At(2, 101).HasLowerNumberThan(At(1, 100)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_a_store_that_tells_no_era)

BOOST_AUTO_TEST_CASE(lies_in_the_era_before_all_others) {
  BOOST_TEST((Position::WithoutEra(5) == At(0, 5)));
  BOOST_TEST(Position::WithoutEra(5).Precedes(At(1, 1)));
  BOOST_TEST((Position{} == At(0, 0)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::core
