// Command-line tool for operators.

#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

#include "command_line.h"
#include "endivecart/settings/settings.h"

namespace {

constexpr char kVersion[] = "0.1.0";
constexpr char kCommands[] = R"(Commands:
  config check FILE|FOLDER   check settings or lists, without a site
  config show                print the configuration in force at a host
  config apply FILE|FOLDER   change the site's lists to these
  config diff FILE|FOLDER    print what apply would change
  config history             print the accepted changes
  status                     print each host's state
  upstreams                  print the upstreams that a host knows
  upstream leave|return NAME stop or resume new work for an upstream
  domain out|in NAME         take a failure domain out or bring it back
  domain status              print which domains are out
  version start MODEL VERSION --deadline SECONDS [--route CLASS]
                             move a model's traffic to a new version
  version status|abort MODEL|history   follow or end such a move
  voters add|promote|remove HOST   change the voters, one at a time
  drain                      mark one host as not ready
  keygen                     make a CURVE key pair
  explain REQUEST FILE...    print a request's timeline from the hosts' logs
  digest TEXT                digest of an API key or token, for the lists

Exit status: 0 done, 1 failed, 2 usage or input error, 3 conflict with another
change, 4 outcome unknown (retry with the same change id).
)";

cxxopts::Options MakeOptions() {
  cxxopts::Options options("endivecart", "Operates an endivecart site");
  options.add_options()("operators", "operators' URLs, comma-separated",
                        cxxopts::value<std::string>()->default_value(""))(
      "token-file", "file with the operator token",
      cxxopts::value<std::string>()->default_value(""))("json", "print JSON")(
      "wait", "wait until a change is in force")(
      "timeout", "seconds to wait", cxxopts::value<int>()->default_value("30"))(
      "change-id", "id of a change; resending it returns the same result",
      cxxopts::value<std::string>()->default_value(""))(
      "author", "who makes a change",
      cxxopts::value<std::string>()->default_value("operator"))(
      "expect-revision", "revision that a change is made against",
      cxxopts::value<std::string>()->default_value(""))(
      "deadline", "seconds until a move must be done",
      cxxopts::value<std::string>()->default_value(""))(
      "route", "request class that a move is limited to",
      cxxopts::value<std::string>()->default_value(""))(
      "words", "command", cxxopts::value<std::vector<std::string>>())(
      "version", "print the version")("help", "print this help");
  options.parse_positional({"words"});
  options.positional_help("COMMAND ...");
  return options;
}

int Run(const cxxopts::ParseResult& args) {
  command_line::Arguments arguments;
  arguments.words = args["words"].as<std::vector<std::string>>();
  arguments.operators =
      endivecart::SplitAtCommas(args["operators"].as<std::string>());
  arguments.json = args.count("json") > 0;
  arguments.wait = args.count("wait") > 0;
  arguments.timeout_s = args["timeout"].as<int>();
  arguments.change_id = args["change-id"].as<std::string>();
  arguments.deadline = args["deadline"].as<std::string>();
  arguments.route = args["route"].as<std::string>();
  if (arguments.deadline.find_first_not_of("0123456789") != std::string::npos) {
    std::cerr << "endivecart: --deadline: must be a number of seconds\n";
    return command_line::kUsageError;
  }
  arguments.author = args["author"].as<std::string>();
  arguments.expect_revision = args["expect-revision"].as<std::string>();
  if (arguments.expect_revision.find_first_not_of("0123456789") !=
      std::string::npos) {
    std::cerr << "endivecart: --expect-revision: must be a number\n";
    return command_line::kUsageError;
  }
  const auto token_file = args["token-file"].as<std::string>();
  if (!token_file.empty()) {
    const auto token = endivecart::settings::ReadTextFile(token_file);
    if (!token) {
      std::cerr << "endivecart: --token-file: "
                << endivecart::settings::JoinErrors(token.error()) << '\n';
      return command_line::kUsageError;
    }
    arguments.token = token->substr(0, token->find_last_not_of("\r\n ") + 1);
  }
  return command_line::RunCommand(arguments);
}

}  // namespace

int main(int argc, char** argv) {
  auto options = MakeOptions();
  try {
    const auto args = options.parse(argc, argv);
    if (args.count("help") > 0) {
      std::cout << options.help() << '\n' << kCommands;
      return command_line::kOk;
    }
    if (args.count("version") > 0) {
      std::cout << "endivecart " << kVersion << '\n';
      return command_line::kOk;
    }
    if (args.count("words") == 0) {
      std::cerr << options.help() << '\n' << kCommands;
      return command_line::kUsageError;
    }
    return Run(args);
  } catch (const cxxopts::exceptions::exception& e) {
    std::cerr << "endivecart: " << e.what() << '\n';
    return command_line::kUsageError;
  }
}
