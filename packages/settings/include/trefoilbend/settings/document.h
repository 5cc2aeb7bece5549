#ifndef TREFOILBEND_SETTINGS_DOCUMENT_H_
#define TREFOILBEND_SETTINGS_DOCUMENT_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "trefoilbend/core/outcome.h"
#include "trefoilbend/settings/mistake.h"

namespace trefoilbend::settings {

/** @brief Sections and keys of an INI file, not yet checked. */
class Document {
 public:
  /** @brief Keys of a section with their values, in the order of the file. */
  using Entries = std::vector<std::pair<std::string, std::string>>;

  /**
   * @brief Reads INI text.
   * @param file Name of the file for messages.
   * @param text Text of the file.
   * @return The document, or the mistake that makes it unreadable.
   */
  [[nodiscard]] static core::Outcome<Document, Mistakes> Parse(
      std::string file, const std::string& text);

  /**
   * @brief Reads an INI file.
   * @param path Path of the file.
   * @return The document, or the mistake that makes it unreadable.
   */
  [[nodiscard]] static core::Outcome<Document, Mistakes> Load(
      const std::string& path);

  /** @return Name of the file. */
  [[nodiscard]] const std::string& File() const noexcept { return this->file; }

  /** @return Sections in the order of the file. */
  [[nodiscard]] const std::vector<std::pair<std::string, Entries>>& Sections()
      const noexcept {
    return this->sections;
  }

  /**
   * @brief Sets a value, as a flag of the command line does.
   * @param section Section of the key.
   * @param key Key to set.
   * @param value Value that replaces the one of the file.
   */
  void Set(const std::string& section, const std::string& key,
           std::string value);

 private:
  std::string file;
  std::vector<std::pair<std::string, Entries>> sections;
};

}  // namespace trefoilbend::settings

#endif  // TREFOILBEND_SETTINGS_DOCUMENT_H_
