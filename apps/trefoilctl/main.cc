#include <CLI/CLI.hpp>
#include <chrono>
#include <string>

#include "commands.h"

namespace {

namespace ctl = trefoilbend::ctl;
namespace http = trefoilbend::http;

std::string CheckAddress(const std::string& text) {
  return http::ParseAddress(text)
             ? ""
             : "expected an IP number and a port, such as 10.0.0.1:8080";
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Operators' command line of the trefoilbend load balancer."};
  app.set_version_flag("--version", "trefoilctl " TREFOILBEND_VERSION);
  app.require_subcommand(1);
  ctl::Common common;
  std::string entry;
  std::string output = "text";
  const CLI::Validator address{CheckAddress, "ADDRESS", "address"};
  const auto add_common = [&](CLI::App* command) {
    command->add_option("--entry", entry, "Operations address of any entry")
        ->required()
        ->check(address)
        ->envname("TREFOILCTL_ENTRY");
    command->add_option("--output", output, "text or json")
        ->check(CLI::IsMember({"text", "json"}));
  };

  ctl::ApplyOptions files;
  std::size_t wait_seconds = 9;
  CLI::App* check =
      app.add_subcommand("check", "Checks an asset register and rules");
  CLI::App* apply = app.add_subcommand(
      "apply", "Puts an asset register and rules into force");
  for (CLI::App* command : {check, apply}) {
    command
        ->add_option("--inventory", files.inventory,
                     "INI file of the asset register")
        ->required();
    command->add_option("--rules", files.rules, "INI file of the rules")
        ->required();
  }
  add_common(apply);
  apply->add_option("--who", files.who, "Name for the audit trail")
      ->required()
      ->envname("USER");
  apply->add_option("--why", files.why, "Reason for the audit trail");
  apply->add_option("--id", files.change_id, "Change id of an earlier attempt");
  apply->add_option("--wait", wait_seconds, "Seconds to wait for all entries");
  CLI::App* show =
      app.add_subcommand("show", "Shows the configuration in force");
  add_common(show);
  CLI::App* status = app.add_subcommand("status", "Shows an entry's revision");
  add_common(status);

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : ctl::kMistake;
  }
  common.entry = http::ParseAddress(entry).value_or(http::Address{});
  common.json = output == "json";
  files.wait = std::chrono::seconds{wait_seconds};
  if (check->parsed()) {
    return ctl::Check(files.inventory, files.rules);
  }
  if (apply->parsed()) {
    return ctl::Apply(common, files);
  }
  if (show->parsed()) {
    return ctl::Show(common);
  }
  return ctl::Status(common);
}
