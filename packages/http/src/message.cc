#include "trefoilbend/http/message.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

namespace trefoilbend::http {

namespace internal {

bool SameLetter(const char left, const char right) noexcept {
  return std::tolower(static_cast<unsigned char>(left)) ==
         std::tolower(static_cast<unsigned char>(right));
}

bool SameName(const std::string_view left,
              const std::string_view right) noexcept {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    SameLetter);
}

std::string Unescape(const std::string_view text) {
  constexpr std::size_t kEscapeLength = 3;
  std::string plain;
  for (std::size_t at = 0; at < text.size(); ++at) {
    unsigned value{};
    const char* digits = text.data() + at + 1;
    if (text[at] == '%' && at + kEscapeLength <= text.size() &&
        std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2) {
      plain.push_back(static_cast<char>(value));
      at += 2;
    } else {
      plain.push_back(text[at] == '+' ? ' ' : text[at]);
    }
  }
  return plain;
}

}  // namespace internal

std::optional<std::string_view> FindField(
    const Fields& fields, const std::string_view name) noexcept {
  const auto found = std::find_if(
      fields.begin(), fields.end(),
      [&](const auto& field) { return internal::SameName(field.first, name); });
  if (found == fields.end()) {
    return std::nullopt;
  }
  return found->second;
}

void EraseField(Fields& fields, const std::string_view name) {
  std::erase_if(fields, [&](const auto& field) {
    return internal::SameName(field.first, name);
  });
}

void SetField(Fields& fields, const std::string_view name, std::string value) {
  EraseField(fields, name);
  fields.emplace_back(name, std::move(value));
}

std::string_view PathOf(const std::string_view target) noexcept {
  return target.substr(0, target.find('?'));
}

std::map<std::string, std::string> QueryOf(const std::string_view target) {
  std::map<std::string, std::string> parameters;
  const std::size_t question = target.find('?');
  std::string_view rest = question == std::string_view::npos
                              ? std::string_view{}
                              : target.substr(question + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    const std::size_t equals = pair.find('=');
    const std::string_view value = equals == std::string_view::npos
                                       ? std::string_view{}
                                       : pair.substr(equals + 1);
    parameters[internal::Unescape(pair.substr(0, equals))] =
        internal::Unescape(value);
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
  }
  return parameters;
}

std::string Escape(const std::string_view text) {
  static constexpr std::string_view kDigits = "0123456789ABCDEF";
  constexpr unsigned kHighDigit = 4;
  constexpr unsigned kLowMask = 0xF;
  std::string escaped;
  for (const char letter : text) {
    const auto byte = static_cast<unsigned char>(letter);
    if (std::isalnum(byte) != 0 ||
        std::string_view{"-._~"}.find(letter) != std::string_view::npos) {
      escaped.push_back(letter);
    } else {
      escaped.push_back('%');
      escaped.push_back(kDigits[byte >> kHighDigit]);
      escaped.push_back(kDigits[byte & kLowMask]);
    }
  }
  return escaped;
}

}  // namespace trefoilbend::http
