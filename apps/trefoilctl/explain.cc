#include "explain.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>
#include <utility>

#include "commands.h"

namespace trefoilbend::ctl {

namespace {

constexpr int kNotFound = 1;

struct Line {
  std::string time;
  std::string text;
};

/** Whether a line has the key id with this value. */
bool IsAbout(const std::string& line, const std::string& key) {
  const std::size_t at = line.find(key);
  return at != std::string::npos &&
         (at + key.size() == line.size() || line[at + key.size()] == ' ');
}

}  // namespace

std::size_t Explain(const std::string& id, const std::vector<LogFile>& logs,
                    std::ostream& out) {
  const std::string key = " id=" + id;
  std::vector<Line> found;
  for (const LogFile& log : logs) {
    for (std::string line; std::getline(*log.lines, line);) {
      if (IsAbout(line, key)) {
        found.push_back({.time = line.substr(0, line.find(' ')),
                         .text = log.name + ": " + line});
      }
    }
  }
  std::stable_sort(
      found.begin(), found.end(),
      [](const Line& a, const Line& b) { return a.time < b.time; });
  for (const Line& line : found) {
    out << line.text << '\n';
  }
  return found.size();
}

int ExplainFiles(const std::string& id, const std::vector<std::string>& files) {
  std::vector<std::unique_ptr<std::ifstream>> opened;
  std::vector<LogFile> logs;
  for (const std::string& file : files) {
    if (file == "-") {
      logs.push_back({.name = "stdin", .lines = &std::cin});
      continue;
    }
    opened.push_back(std::make_unique<std::ifstream>(file));
    if (!*opened.back()) {
      std::fprintf(stderr, "trefoilctl: cannot read %s\n", file.c_str());
      return kMistake;
    }
    logs.push_back({.name = file, .lines = opened.back().get()});
  }
  if (Explain(id, logs, std::cout) > 0) {
    return 0;
  }
  std::fprintf(
      stderr,
      "trefoilctl: no line about %s. Ordinary calls are sampled; those "
      "that failed, were refused, repeated or slow are kept unless "
      "the log says that traces were left out.\n",
      id.c_str());
  return kNotFound;
}

}  // namespace trefoilbend::ctl
