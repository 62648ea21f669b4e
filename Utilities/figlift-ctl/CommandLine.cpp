//===- CommandLine.cpp - What the operator asked for ----------------------===//
//
// Options by cxxopts; the commands and their operands here.
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
  drain|undrain|retire ID    change what a target is to do
  status                     show entries and targets
  watch                      show what changes, until interrupted
  explain ID                 show the events of a request or a target

Exit status: 0 done, 2 wrong command line, 3 refused or invalid, 4 conflict
with another operator's change, 5 no entry or no store available, 6 not in
force within the wait, 7 outcome unknown: send it again with the same
--operation id.
)";

static cxxopts::Options describeOptions() {
  cxxopts::Options Described("figlift-ctl", "Drives figlift by records.");
  auto Add = Described.add_options();
  Add("entry", "Entries to ask", cxxopts::value<std::vector<std::string>>(),
      "ip:port,...");
  Add("f,file", "File of records", cxxopts::value<std::vector<std::string>>(),
      "FILE");
  Add("if-version", "Only if the record has this version (0: is new)",
      cxxopts::value<std::string>(), "N");
  Add("wait", "Wait until the change is in force; a time only as --wait=TIME",
      cxxopts::value<std::string>()->implicit_value(DefaultWait), "TIME");
  Add("operation", "Name the operation by this UUIDv7",
      cxxopts::value<std::string>(), "ID");
  Add("timeout", "Of one question to one entry",
      cxxopts::value<std::string>()->default_value("3s"), "TIME");
  Add("interval", "Of watch",
      cxxopts::value<std::string>()->default_value("1s"), "TIME");
  Add("rounds", "Of watch; 0: until interrupted",
      cxxopts::value<unsigned>()->default_value("0"), "N");
  Add("o,output", "table or json",
      cxxopts::value<std::string>()->default_value("table"), "FORMAT");
  Add("version", "Print the version and exit");
  Add("help", "Print this and exit");
  Add("words", "", cxxopts::value<std::vector<std::string>>());
  Described.parse_positional("words");
  Described.positional_help("COMMAND [OPERAND...]");
  return Described;
}

static auto usage(std::string Message, std::string Option = {}) {
  return failure(ResultCode::InvalidInput, std::move(Message),
                 std::move(Option));
}

static Result<std::chrono::milliseconds> timeOf(const std::string &Text,
                                                const char *Option) {
  if (auto Time = record::parseDuration(Text))
    return *Time;
  return usage("found \"" + Text + "\"; allowed: a time such as 250ms or 4s",
               Option);
}

/// Names go into paths as they are, so nothing else may be in them.
static Result<void> checkWord(const std::string &Word) {
  for (unsigned char Byte : Word)
    if (!std::isalnum(Byte) && Byte != '-' && Byte != '_' && Byte != '.')
      return usage("found \"" + Word +
                   "\"; allowed: letters, digits, '-', '_' and '.'");
  return success();
}

static Result<Command> commandOf(const std::vector<std::string> &Words,
                                 const cxxopts::ParseResult &Options) {
  const std::string Verb = Words.empty() ? "" : Words[0];
  const size_t Operands = Words.empty() ? 0 : Words.size() - 1;
  for (const std::string &Word : Words) {
    FIGLIFT_TRY(checkWord(Word));
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
    return Command(ChangeTarget{Wish::Drain, Words[1]});
  if (Verb == "undrain" && Operands == 1)
    return Command(ChangeTarget{Wish::Undrain, Words[1]});
  if (Verb == "retire" && Operands == 1)
    return Command(ChangeTarget{Wish::Retire, Words[1]});
  if (Verb == "status" && Operands == 0)
    return Command(Status{});
  if (Verb == "watch" && Operands == 0) {
    FIGLIFT_TRY(Interval,
                timeOf(Options["interval"].as<std::string>(), "interval"));
    return Command(Watch{Interval, Options["rounds"].as<unsigned>()});
  }
  if (Verb == "explain" && Operands == 1)
    return Command(Explain{Words[1]});
  return usage("no such command, or wrong operands; see --help");
}

static Result<std::vector<Endpoint>>
entriesOf(const cxxopts::ParseResult &Options) {
  std::vector<Endpoint> Entries;
  if (Options.count("entry"))
    for (const auto &Text : Options["entry"].as<std::vector<std::string>>()) {
      const auto Entry = Endpoint::parse(Text);
      if (!Entry)
        return usage(Entry.error().Message, "entry");
      Entries.push_back(Entry.value());
    }
  if (Entries.empty())
    return usage("needs at least one entry: --entry ip:port", "entry");
  return Entries;
}

static Result<std::optional<uint64_t>>
ifVersionOf(const cxxopts::ParseResult &Options) {
  if (!Options.count("if-version"))
    return std::optional<uint64_t>();
  const auto Text = Options["if-version"].as<std::string>();
  uint64_t Version = 0;
  auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Version);
  if (Code != std::errc() || End != Text.data() + Text.size())
    return usage("found \"" + Text + "\"; allowed: a whole number from 0",
                 "if-version");
  return std::optional<uint64_t>(Version);
}

static bool waitsForDrain(const Command &What) {
  const auto *Change = std::get_if<ChangeTarget>(&What);
  return Change && Change->Wanted != Wish::Undrain;
}

static Result<std::optional<std::chrono::milliseconds>>
waitOf(const cxxopts::ParseResult &Options, const Command &What) {
  using Time = std::optional<std::chrono::milliseconds>;
  if (!Options.count("wait"))
    return Time();
  const auto Text = Options["wait"].as<std::string>();
  if (Text == DefaultWait)
    return waitsForDrain(What) ? Time(WaitForDrain) : Time(WaitForRollout);
  FIGLIFT_TRY(Given, timeOf(Text, "wait"));
  return Time(Given);
}

static Result<std::string> operationOf(const cxxopts::ParseResult &Options) {
  if (!Options.count("operation"))
    return UuidGenerator().nextText();
  const auto Text = Options["operation"].as<std::string>();
  const auto Id = Uuid::parse(Text);
  if (!Id || !Id.value().isVersion7())
    return usage("found \"" + Text + "\"; allowed: a UUID of version 7",
                 "operation");
  return Id.value().toString();
}

static Result<Arguments> read(const cxxopts::ParseResult &Options,
                              const std::string &Help) {
  Arguments Read;
  if (Options.count("help")) {
    Read.What = Print{Help + Commands};
    return Read;
  }
  if (Options.count("version")) {
    Read.What = Print{std::string("figlift-ctl ") + FIGLIFT_VERSION + "\n"};
    return Read;
  }
  FIGLIFT_TRY(Entries, entriesOf(Options));
  FIGLIFT_TRY(Version, ifVersionOf(Options));
  FIGLIFT_TRY(OperationId, operationOf(Options));
  FIGLIFT_TRY(Timeout, timeOf(Options["timeout"].as<std::string>(), "timeout"));
  std::vector<std::string> Words;
  if (Options.count("words"))
    Words = Options["words"].as<std::vector<std::string>>();
  FIGLIFT_TRY(What, commandOf(Words, Options));
  FIGLIFT_TRY(Wait, waitOf(Options, What));
  const auto Format = Options["output"].as<std::string>();
  if (Format != "table" && Format != "json")
    return usage("found \"" + Format + "\"; allowed: table, json", "output");
  Read.Entries = Entries;
  Read.IfVersion = Version;
  Read.OperationId = OperationId;
  Read.Timeout = Timeout;
  Read.What = What;
  Read.Wait = Wait;
  Read.JsonOutput = Format == "json";
  return Read;
}

Result<Arguments> parseCommandLine(int Count, const char *const *Values) {
  try {
    auto Described = describeOptions();
    auto Options = Described.parse(Count, Values);
    return read(Options, Described.help());
  } catch (const std::exception &Exception) {
    return usage(Exception.what());
  }
}

} // namespace figlift::control
