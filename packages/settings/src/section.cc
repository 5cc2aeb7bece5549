#include "trefoilbend/settings/section.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

#include "trefoilbend/settings/wall_time.h"

namespace trefoilbend::settings {

namespace {

struct Unit {
  std::string_view name;
  std::uint64_t factor;
};

constexpr std::uint64_t kKibibyte = 1024;
constexpr std::uint64_t kMillisecond = 1'000;
constexpr std::uint64_t kSecond = 1'000 * kMillisecond;
constexpr std::uint64_t kMinute = 60 * kSecond;
constexpr std::uint64_t kHour = 60 * kMinute;

const std::vector<Unit>& TimeUnits() {
  static const std::vector<Unit> kUnits{{"us", 1},
                                        {"ms", kMillisecond},
                                        {"s", kSecond},
                                        {"min", kMinute},
                                        {"h", kHour}};
  return kUnits;
}

const std::vector<Unit>& ByteUnits() {
  static const std::vector<Unit> kUnits{
      {"B", 1}, {"KiB", kKibibyte}, {"MiB", kKibibyte * kKibibyte}};
  return kUnits;
}

/** A number with decimals and its unit. */
struct Quantity {
  std::uint64_t whole{};
  /** What follows the point, in parts of `parts`. */
  std::uint64_t fraction{};
  std::uint64_t parts = 1;
  std::string_view unit;
};

/** Removes digits from the front of a text; returns their number. */
std::optional<std::uint64_t> TakeDigits(std::string_view& text) {
  std::uint64_t number{};
  const auto [rest, problem] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (problem != std::errc{}) {
    return std::nullopt;
  }
  text.remove_prefix(static_cast<std::size_t>(rest - text.data()));
  return number;
}

std::optional<Quantity> ParseQuantity(std::string_view text) {
  constexpr std::size_t kMostDecimals = 6;
  constexpr std::uint64_t kTen = 10;
  Quantity quantity;
  const auto whole = TakeDigits(text);
  if (!whole) {
    return std::nullopt;
  }
  quantity.whole = *whole;
  if (text.starts_with('.')) {
    text.remove_prefix(1);
    const std::size_t before = text.size();
    const auto fraction = TakeDigits(text);
    const std::size_t decimals = before - text.size();
    if (!fraction || decimals > kMostDecimals) {
      return std::nullopt;
    }
    quantity.fraction = *fraction;
    for (std::size_t decimal = 0; decimal < decimals; ++decimal) {
      quantity.parts *= kTen;
    }
  }
  quantity.unit = text;
  quantity.unit.remove_prefix(
      std::min(quantity.unit.find_first_not_of(' '), quantity.unit.size()));
  return quantity;
}

std::optional<std::uint64_t> ParseWithUnit(const std::string_view text,
                                           const std::vector<Unit>& units) {
  const std::optional<Quantity> quantity = ParseQuantity(text);
  if (!quantity) {
    return std::nullopt;
  }
  const auto unit =
      std::find_if(units.begin(), units.end(),
                   [&](const Unit& one) { return one.name == quantity->unit; });
  std::uint64_t product{};
  if (unit == units.end() ||
      __builtin_mul_overflow(quantity->whole, unit->factor, &product) ||
      __builtin_add_overflow(
          product, quantity->fraction * unit->factor / quantity->parts,
          &product)) {
    return std::nullopt;
  }
  return product;
}

std::string WithUnit(const std::uint64_t value,
                     const std::vector<Unit>& units) {
  const auto unit =
      std::find_if(units.rbegin(), units.rend(), [&](const Unit& one) {
        return value % one.factor == 0 && value >= one.factor;
      });
  const Unit& chosen = unit == units.rend() ? units.front() : *unit;
  return std::to_string(value / chosen.factor) + ' ' + std::string{chosen.name};
}

std::string Between(const std::string& least, const std::string& most) {
  return "from " + least + " to " + most;
}

}  // namespace

Section::Section(std::string file, std::string name,
                 const Document::Entries& entries, Mistakes& mistakes)
    : file(std::move(file)),
      name(std::move(name)),
      entries(entries),
      mistakes(mistakes) {}

std::string Section::Text(const std::string& key,
                          const std::optional<std::string>& fallback) {
  const auto value = this->Require(key, fallback.has_value(), "a value");
  if (value && value->empty() && !fallback) {
    this->Refuse(key, "a value");
  }
  return value ? *value : fallback.value_or("");
}

std::string Section::Word(const std::string& key,
                          const std::vector<std::string>& words,
                          const std::optional<std::string>& fallback) {
  std::string list;
  for (const std::string& word : words) {
    list += (list.empty() ? "" : ", ") + word;
  }
  const std::string expected = "one of " + list;
  const auto value = this->Require(key, fallback.has_value(), expected);
  if (!value) {
    return fallback.value_or("");
  }
  if (std::find(words.begin(), words.end(), *value) == words.end()) {
    this->Refuse(key, expected);
    return fallback.value_or("");
  }
  return *value;
}

http::Address Section::Address(const std::string& key) {
  static constexpr std::string_view kExpected =
      "an IP number and a port, such as 10.0.0.1:8080";
  const auto value = this->Require(key, false, kExpected);
  if (!value) {
    return {};
  }
  const auto address = http::ParseAddress(*value);
  if (!address) {
    this->Refuse(key, std::string{kExpected});
  }
  return address.value_or(http::Address{});
}

std::optional<http::Address> Section::OptionalAddress(const std::string& key) {
  if (!this->Find(key)) {
    return std::nullopt;
  }
  return this->Address(key);
}

std::uint64_t Section::Integer(const std::string& key,
                               const Range<std::uint64_t> range,
                               const std::optional<std::uint64_t> fallback) {
  const std::string expected =
      "a whole number " +
      Between(std::to_string(range.least), std::to_string(range.most));
  const auto value = this->Require(key, fallback.has_value(), expected);
  if (!value) {
    return fallback.value_or(range.least);
  }
  const auto quantity = ParseQuantity(*value);
  if (!quantity || quantity->parts != 1 || !quantity->unit.empty() ||
      quantity->whole < range.least || quantity->whole > range.most) {
    this->Refuse(key, expected);
    return fallback.value_or(range.least);
  }
  return quantity->whole;
}

double Section::Decimal(const std::string& key, const Range<double> range,
                        const double fallback) {
  std::ostringstream expected;
  expected << "a number between " << range.least << " and " << range.most;
  const auto value = this->Require(key, true, expected.str());
  if (!value) {
    return fallback;
  }
  double number{};
  const char* end = value->data() + value->size();
  const auto [rest, problem] = std::from_chars(value->data(), end, number);
  if (problem != std::errc{} || rest != end || number < range.least ||
      number > range.most) {
    this->Refuse(key, expected.str());
    return fallback;
  }
  return number;
}

std::uint64_t Section::Bytes(const std::string& key,
                             const Range<std::uint64_t> range,
                             const std::uint64_t fallback) {
  const auto value = this->Find(key);
  if (!value) {
    return fallback;
  }
  const auto bytes = ParseWithUnit(*value, ByteUnits());
  if (!bytes || *bytes < range.least || *bytes > range.most) {
    this->Refuse(key, "a size with its unit (B, KiB, MiB) " +
                          Between(WithUnit(range.least, ByteUnits()),
                                  WithUnit(range.most, ByteUnits())));
    return fallback;
  }
  return *bytes;
}

std::chrono::microseconds Section::Time(
    const std::string& key, const Range<std::chrono::microseconds> range,
    const std::optional<std::chrono::microseconds> fallback) {
  const auto count = [](const std::chrono::microseconds time) {
    return WithUnit(static_cast<std::uint64_t>(time.count()), TimeUnits());
  };
  const std::string expected = "a time with its unit (us, ms, s, min, h) " +
                               Between(count(range.least), count(range.most));
  const auto value = this->Require(key, fallback.has_value(), expected);
  if (!value) {
    return fallback.value_or(range.least);
  }
  const auto parsed = ParseWithUnit(*value, TimeUnits());
  if (!parsed || *parsed > static_cast<std::uint64_t>(range.most.count()) ||
      *parsed < static_cast<std::uint64_t>(range.least.count())) {
    this->Refuse(key, expected);
    return fallback.value_or(range.least);
  }
  return std::chrono::microseconds{*parsed};
}

std::optional<std::chrono::microseconds> Section::OptionalTime(
    const std::string& key, const Range<std::chrono::microseconds> range) {
  if (!this->Find(key)) {
    return std::nullopt;
  }
  return this->Time(key, range);
}

std::chrono::sys_seconds Section::WallTime(const std::string& key) {
  static constexpr std::string_view kExpected =
      "a time with its zone, such as 2026-12-04T18:00:00Z or "
      "2026-12-04T12:00:00-06:00";
  const auto value = this->Require(key, false, kExpected);
  if (!value) {
    return {};
  }
  const auto time = ParseWallTime(*value);
  if (!time) {
    this->Refuse(key, std::string{kExpected});
  }
  return time.value_or(std::chrono::sys_seconds{});
}

bool Section::YesNo(const std::string& key, const bool fallback) {
  return this->Word(key, {"yes", "no"}, fallback ? "yes" : "no") == "yes";
}

void Section::RefuseOtherKeys() {
  for (const auto& [key, value] : this->entries) {
    if (!this->known.contains(key)) {
      this->Refuse(key, "no such key in this section");
    }
  }
}

void Section::Refuse(const std::string& key, std::string expected) {
  this->mistakes.push_back(
      {this->file, "section [" + this->name + "]", key, std::move(expected)});
}

std::optional<std::string> Section::Find(const std::string& key) {
  this->known.insert(key);
  const auto found =
      std::find_if(this->entries.begin(), this->entries.end(),
                   [&](const auto& entry) { return entry.first == key; });
  if (found == this->entries.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::optional<std::string> Section::Require(const std::string& key,
                                            const bool has_fallback,
                                            const std::string_view expected) {
  auto value = this->Find(key);
  if (!value && !has_fallback) {
    this->Refuse(key, std::string{expected} + ", but the key is missing");
  }
  return value;
}

}  // namespace trefoilbend::settings
