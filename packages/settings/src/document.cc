#include "trefoilbend/settings/document.h"

#include <algorithm>
#include <boost/property_tree/ini_parser.hpp>
#include <fstream>
#include <sstream>

namespace trefoilbend::settings {

core::Outcome<Document, Mistakes> Document::Parse(std::string file,
                                                  const std::string& text) {
  boost::property_tree::ptree tree;
  std::istringstream in{text};
  try {
    boost::property_tree::read_ini(in, tree);
  } catch (const boost::property_tree::ini_parser_error& error) {
    return Mistakes{{std::move(file), "line " + std::to_string(error.line()),
                     "",
                     "sections and keys as in INI (" + error.message() + ")"}};
  }
  Document document;
  document.file = std::move(file);
  for (const auto& [name, section] : tree) {
    if (section.empty() && !section.data().empty()) {
      return Mistakes{{document.file, "before the first section", name,
                       "a section above the key"}};
    }
    Entries entries;
    for (const auto& [key, value] : section) {
      entries.emplace_back(key, value.data());
    }
    document.sections.emplace_back(name, std::move(entries));
  }
  return document;
}

core::Outcome<Document, Mistakes> Document::Load(const std::string& path) {
  std::ifstream in{path};
  if (!in) {
    return Mistakes{{path, "file", "", "a file that can be read"}};
  }
  std::ostringstream text;
  text << in.rdbuf();
  return Parse(path, text.str());
}

void Document::Set(const std::string& section, const std::string& key,
                   std::string value) {
  const auto named = [](const std::string& name) {
    return [&name](const auto& pair) { return pair.first == name; };
  };
  auto at = std::find_if(this->sections.begin(), this->sections.end(),
                         named(section));
  if (at == this->sections.end()) {
    at = this->sections.insert(at, {section, {}});
  }
  const auto entry =
      std::find_if(at->second.begin(), at->second.end(), named(key));
  if (entry == at->second.end()) {
    at->second.emplace_back(key, std::move(value));
  } else {
    entry->second = std::move(value);
  }
}

}  // namespace trefoilbend::settings
