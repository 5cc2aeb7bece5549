#include "trefoilbend/operations/operators.h"

#include <algorithm>

#include "trefoilbend/settings/section.h"

namespace trefoilbend::operations {

namespace {

constexpr std::string_view kTitle = "operator ";
constexpr std::string_view kScheme = "Bearer ";

/** Compares in a time that does not depend on where the texts differ. */
bool SameToken(const std::string_view a, const std::string_view b) {
  unsigned difference = a.size() == b.size() ? 0U : 1U;
  for (std::size_t at = 0; at < std::min(a.size(), b.size()); ++at) {
    difference |= static_cast<unsigned>(a[at] ^ b[at]);
  }
  return difference == 0;
}

}  // namespace

core::Outcome<Operators, settings::Mistakes> Operators::Read(
    const settings::Document& document) {
  settings::Mistakes mistakes;
  std::vector<Operator> operators;
  for (const auto& [title, entries] : document.Sections()) {
    settings::Section section{document.File(), title, entries, mistakes};
    if (!title.starts_with(kTitle) || title.size() == kTitle.size()) {
      section.Refuse("", "sections [operator NAME]");
      continue;
    }
    const std::string token = section.Text("token");
    section.RefuseOtherKeys();
    if (!token.empty() && token.size() < kLeastToken) {
      section.Refuse("token",
                     "at least " + std::to_string(kLeastToken) + " characters");
    }
    if (std::any_of(operators.begin(), operators.end(),
                    [&](const Operator& one) { return one.token == token; })) {
      section.Refuse("token", "a token that no other operator has");
    }
    operators.push_back({.name = title.substr(kTitle.size()), .token = token});
  }
  if (!mistakes.empty()) {
    return mistakes;
  }
  return Operators{std::move(operators)};
}

std::optional<std::string> Operators::Authenticate(
    const std::string_view authorization) const {
  if (!authorization.starts_with(kScheme)) {
    return std::nullopt;
  }
  const std::string_view token = authorization.substr(kScheme.size());
  std::optional<std::string> name;
  for (const Operator& one : this->operators) {
    if (SameToken(one.token, token)) {
      name = one.name;
    }
  }
  return name;
}

}  // namespace trefoilbend::operations
