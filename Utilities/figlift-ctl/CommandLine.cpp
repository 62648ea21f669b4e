//===- CommandLine.cpp - Command line of figlift-ctl ----------------------===//
//
// cxxopts parses the options; this file parses the commands and operands.
//
//===----------------------------------------------------------------------===//

#include "CommandLine.h"

#include "LibCore/Ids.h"
#include "LibRecord/FieldReader.h"

#include <cxxopts.hpp>

#include <charconv>

namespace figlift::control {

static constexpr char DefaultWait[] = "default";
static constexpr std::chrono::seconds WaitForRollout{4};
static constexpr std::chrono::seconds WaitForDrain{60};

static constexpr char Commands[] = R"(
Commands:
  apply -f FILE              submit the records of a file ("-": standard input)
  get KIND NAME              show a record as it was submitted
  list [KIND]                list records
  withdraw KIND NAME         withdraw a record
  drain|undrain|retire ID    drain, undrain or retire a target
  status                     show entries and targets
  watch                      show status changes until interrupted
  explain ID                 show the events of a request or a target

Exit status: 0 done, 2 invalid command line, 3 rejected or invalid, 4 conflict
with another operator's change, 5 no entry or no store available, 6 not in
force within the wait, 7 outcome unknown: retry with the same --operation id.
)";

static cxxopts::Options describeOptions() {
  cxxopts::Options Definition("figlift-ctl",
                              "Operates figlift through records.");
  auto Add = Definition.add_options();
  Add("entry", "Entries to query", cxxopts::value<std::vector<std::string>>(),
      "ip:port,...");
  Add("f,file", "File that contains records",
      cxxopts::value<std::vector<std::string>>(), "FILE");
  Add("if-version", "Only if the record has this version (0: does not exist)",
      cxxopts::value<std::string>(), "N");
  Add("wait", "Wait until the change is in force; pass a time as --wait=TIME",
      cxxopts::value<std::string>()->implicit_value(DefaultWait), "TIME");
  Add("operation", "Id of the operation, a UUIDv7",
      cxxopts::value<std::string>(), "ID");
  Add("timeout", "Timeout of one request to one entry",
      cxxopts::value<std::string>()->default_value("3s"), "TIME");
  Add("interval", "Polling interval of watch",
      cxxopts::value<std::string>()->default_value("1s"), "TIME");
  Add("rounds", "Number of polls of watch; 0: until interrupted",
      cxxopts::value<unsigned>()->default_value("0"), "N");
  Add("o,output", "table or json",
      cxxopts::value<std::string>()->default_value("table"), "FORMAT");
  Add("version", "Print the version and exit");
  Add("help", "Print this and exit");
  Add("words", "", cxxopts::value<std::vector<std::string>>());
  Definition.parse_positional("words");
  Definition.positional_help("COMMAND [OPERAND...]");
  return Definition;
}

static auto usage(std::string Message, std::string Option = {}) {
  return failure(ResultCode::InvalidInput, std::move(Message),
                 std::move(Option));
}

static Result<std::chrono::milliseconds> parseTime(const std::string &Text,
                                                   const char *Option) {
  if (auto Time = record::parseDuration(Text))
    return *Time;
  return usage("found \"" + Text + "\"; expected a time such as 250ms or 4s",
               Option);
}

/// Names are inserted into URL paths without escaping, so only these characters
/// are allowed.
static Result<void> checkName(const std::string &Word) {
  for (unsigned char Byte : Word)
    if (!std::isalnum(Byte) && Byte != '-' && Byte != '_' && Byte != '.')
      return usage("found \"" + Word +
                   "\"; expected letters, digits, '-', '_' and '.'");
  return success();
}

static Result<Command> parseCommand(const std::vector<std::string> &Words,
                                    const cxxopts::ParseResult &Options) {
  const std::string Verb = Words.empty() ? "" : Words[0];
  const size_t Operands = Words.empty() ? 0 : Words.size() - 1;
  for (const std::string &Word : Words) {
    FIGLIFT_TRY(checkName(Word));
  }
  if (Verb == "apply" && Operands == 0) {
    if (!Options.count("file"))
      return usage("apply needs -f FILE", "file");
    return Command(Apply{Options["file"].as<std::vector<std::string>>()});
  }
  if (Verb == "get" && Operands == 2)
    return Command(Get{Words[1], Words[2]});
  if (Verb == "list" && Operands <= 1)
    return Command(List{Operands ? Words[1] : ""});
  if (Verb == "withdraw" && Operands == 2)
    return Command(Withdraw{Words[1], Words[2]});
  if (Verb == "drain" && Operands == 1)
    return Command(ChangeTarget{TargetAction::Drain, Words[1]});
  if (Verb == "undrain" && Operands == 1)
    return Command(ChangeTarget{TargetAction::Undrain, Words[1]});
  if (Verb == "retire" && Operands == 1)
    return Command(ChangeTarget{TargetAction::Retire, Words[1]});
  if (Verb == "status" && Operands == 0)
    return Command(Status{});
  if (Verb == "watch" && Operands == 0) {
    FIGLIFT_TRY(Interval,
                parseTime(Options["interval"].as<std::string>(), "interval"));
    return Command(Watch{Interval, Options["rounds"].as<unsigned>()});
  }
  if (Verb == "explain" && Operands == 1)
    return Command(Explain{Words[1]});
  return usage("no such command, or invalid operands; see --help");
}

static Result<std::vector<Endpoint>>
parseEntries(const cxxopts::ParseResult &Options) {
  std::vector<Endpoint> Entries;
  if (Options.count("entry"))
    for (const auto &Text : Options["entry"].as<std::vector<std::string>>()) {
      const auto Entry = Endpoint::parse(Text);
      if (!Entry)
        return usage(Entry.error().Message, "entry");
      Entries.push_back(Entry.value());
    }
  if (Entries.empty())
    return usage("missing; expected at least one entry, --entry ip:port",
                 "entry");
  return Entries;
}

static Result<std::optional<uint64_t>>
parseIfVersion(const cxxopts::ParseResult &Options) {
  if (!Options.count("if-version"))
    return std::optional<uint64_t>();
  const auto Text = Options["if-version"].as<std::string>();
  uint64_t Version = 0;
  auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Version);
  if (Code != std::errc() || End != Text.data() + Text.size())
    return usage("found \"" + Text + "\"; expected a whole number from 0",
                 "if-version");
  return std::optional<uint64_t>(Version);
}

static bool waitsForDrain(const Command &Requested) {
  const auto *Change = std::get_if<ChangeTarget>(&Requested);
  return Change && Change->Action != TargetAction::Undrain;
}

static Result<std::optional<std::chrono::milliseconds>>
parseWait(const cxxopts::ParseResult &Options, const Command &Requested) {
  using Time = std::optional<std::chrono::milliseconds>;
  if (!Options.count("wait"))
    return Time();
  const auto Text = Options["wait"].as<std::string>();
  if (Text == DefaultWait)
    return waitsForDrain(Requested) ? Time(WaitForDrain) : Time(WaitForRollout);
  FIGLIFT_TRY(Duration, parseTime(Text, "wait"));
  return Time(Duration);
}

static Result<std::string>
parseOperationId(const cxxopts::ParseResult &Options) {
  if (!Options.count("operation"))
    return UuidGenerator().nextText();
  const auto Text = Options["operation"].as<std::string>();
  const auto Id = Uuid::parse(Text);
  if (!Id || !Id.value().isVersion7())
    return usage("found \"" + Text + "\"; expected a UUID of version 7",
                 "operation");
  return Id.value().toString();
}

static Result<Arguments> parseArguments(const cxxopts::ParseResult &Options,
                                        const std::string &Help) {
  Arguments Parsed;
  if (Options.count("help")) {
    Parsed.RequestedCommand = Print{Help + Commands};
    return Parsed;
  }
  if (Options.count("version")) {
    Parsed.RequestedCommand =
        Print{std::string("figlift-ctl ") + FIGLIFT_VERSION + "\n"};
    return Parsed;
  }
  FIGLIFT_TRY(Entries, parseEntries(Options));
  FIGLIFT_TRY(Version, parseIfVersion(Options));
  FIGLIFT_TRY(OperationId, parseOperationId(Options));
  FIGLIFT_TRY(Timeout,
              parseTime(Options["timeout"].as<std::string>(), "timeout"));
  std::vector<std::string> Words;
  if (Options.count("words"))
    Words = Options["words"].as<std::vector<std::string>>();
  FIGLIFT_TRY(Requested, parseCommand(Words, Options));
  FIGLIFT_TRY(Wait, parseWait(Options, Requested));
  const auto Format = Options["output"].as<std::string>();
  if (Format != "table" && Format != "json")
    return usage("found \"" + Format + "\"; expected one of table, json",
                 "output");
  Parsed.Entries = Entries;
  Parsed.IfVersion = Version;
  Parsed.OperationId = OperationId;
  Parsed.Timeout = Timeout;
  Parsed.RequestedCommand = Requested;
  Parsed.Wait = Wait;
  Parsed.JsonOutput = Format == "json";
  return Parsed;
}

Result<Arguments> parseCommandLine(int Count, const char *const *Values) {
  try {
    auto Definition = describeOptions();
    auto Options = Definition.parse(Count, Values);
    return parseArguments(Options, Definition.help());
  } catch (const std::exception &Exception) {
    return usage(Exception.what());
  }
}

} // namespace figlift::control
