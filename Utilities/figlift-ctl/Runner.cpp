//===- Runner.cpp - Executes a command ------------------------------------===//
//
// Results go to standard output, everything else to standard error.
//
//===----------------------------------------------------------------------===//

#include "Runner.h"

#include "LibConfig/Rollout.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>

namespace figlift::control {

using platform::HttpMethod;

static const std::string Prefix = "/operator/v1/";
static constexpr std::chrono::milliseconds WaitInterval{100};

ExitCode exitCodeOf(ResultCode Code) {
  switch (Code) {
  case ResultCode::Success:
    return ExitCode::Done;
  case ResultCode::RecordVersionConflict:
    return ExitCode::Conflict;
  case ResultCode::StoreOutcomeUnknown:
    return ExitCode::OutcomeUnknown;
  case ResultCode::WaitTimedOut:
    return ExitCode::WaitTimedOut;
  case ResultCode::InvalidInput:
  case ResultCode::InputTooLarge:
  case ResultCode::KeyReusedForOtherRequest:
  case ResultCode::RecordInvalid:
  case ResultCode::RecordNotFound:
    return ExitCode::Refused;
  default:
    return ExitCode::Unavailable;
  }
}

Runner::Runner(Arguments Options)
    : m_Arguments(std::move(Options)),
      m_Client({m_Arguments.Entries, m_Arguments.Timeout}) {}

ExitCode Runner::run() {
  return std::visit(
      [this](const auto &Requested) { return execute(Requested); },
      m_Arguments.RequestedCommand);
}

ExitCode Runner::reportError(const Error &Problem) const {
  std::cerr << "figlift-ctl: " << resultCodeInfo(Problem.Code).Name << " ("
            << static_cast<int>(Problem.Code) << "): ";
  if (!Problem.Field.empty())
    std::cerr << Problem.Field << ": ";
  std::cerr << Problem.Message << '\n';
  return exitCodeOf(Problem.Code);
}

std::string Runner::addOperationParameters(std::string Path) const {
  Path += "?operationId=" + m_Arguments.OperationId;
  if (m_Arguments.IfVersion)
    Path += "&ifVersion=" + std::to_string(*m_Arguments.IfVersion);
  return Path;
}

static std::optional<std::string> readFile(const std::string &File) {
  if (File == "-")
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  std::ifstream Stream(File, std::ios::binary);
  if (!Stream)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(Stream), {});
}

ExitCode Runner::execute(const Apply &Requested) {
  Json Body = {{"operationId", m_Arguments.OperationId},
               {"records", Json::array()}};
  if (m_Arguments.IfVersion)
    Body["ifVersion"] = *m_Arguments.IfVersion;
  for (const std::string &File : Requested.Files) {
    auto Text = readFile(File);
    if (!Text) {
      std::cerr << "figlift-ctl: " << File << " can't be read\n";
      return ExitCode::Usage;
    }
    Body["records"].push_back(*Text);
  }
  return write(HttpMethod::Post, Prefix + "records",
               Body.dump(-1, ' ', false, Json::error_handler_t::replace), "");
}

ExitCode Runner::execute(const Withdraw &Requested) {
  return write(HttpMethod::Delete,
               addOperationParameters(Prefix + "records/" + Requested.Kind +
                                      "/" + Requested.Name),
               "", "");
}

ExitCode Runner::execute(const ChangeTarget &Requested) {
  static constexpr const char *Verbs[] = {"drain", "undrain", "retire"};
  std::string Path = Prefix + "targets/" + Requested.Target + "/" +
                     Verbs[static_cast<int>(Requested.Action)];
  bool IsDrain = Requested.Action != TargetAction::Undrain;
  return write(HttpMethod::Post, addOperationParameters(Path), "",
               IsDrain ? Requested.Target : "");
}

ExitCode Runner::write(HttpMethod Verb, const std::string &Path,
                       const std::string &Body, const std::string &Draining) {
  auto Response = m_Client.write(Verb, Path, Body);
  if (!Response) {
    ExitCode Code = reportError(Response.error());
    if (Code == ExitCode::OutcomeUnknown)
      std::cerr << "retry the same command with --operation "
                << m_Arguments.OperationId << '\n';
    return Code;
  }
  Json Outcome = Json::parse(Response.value(), nullptr, false);
  if (!Outcome.is_object() || !Outcome.contains("revision"))
    return reportError({ResultCode::Internal, "malformed response", {}, {}});
  std::cout << (m_Arguments.JsonOutput ? Outcome.dump(2) + "\n"
                                       : outcomeTable(Outcome))
            << std::flush;
  if (!m_Arguments.Wait)
    return ExitCode::Done;
  return waitUntilActive(Outcome["revision"].get<uint64_t>(), Draining);
}

ExitCode Runner::waitUntilActive(uint64_t Revision,
                                 const std::string &Draining) {
  auto Deadline = std::chrono::steady_clock::now() + *m_Arguments.Wait;
  while (true) {
    auto Responses = m_Client.readAll(Prefix + "status");
    auto Rollout = config::rolloutStatus(Responses, Revision);
    bool Drained = Draining.empty() || config::isDrained(Responses, Draining);
    if (Rollout.complete() && Drained) {
      std::cerr << "revision " << Revision << " is in force in "
                << Rollout.InForce << " processes\n";
      return ExitCode::Done;
    }
    if (std::chrono::steady_clock::now() >= Deadline) {
      for (const std::string &Line : Rollout.Lagging)
        std::cerr << "lags: " << Line << '\n';
      if (!Drained)
        std::cerr << "still draining: target " << Draining << '\n';
      return reportError({ResultCode::WaitTimedOut,
                          "revision " + std::to_string(Revision) +
                              " is committed, but the wait timed out",
                          {},
                          {}});
    }
    std::this_thread::sleep_for(WaitInterval);
  }
}

ExitCode Runner::show(const std::string &Path,
                      std::string (*Table)(const Json &)) {
  auto Response = m_Client.read(Prefix + Path);
  if (!Response)
    return reportError(Response.error());
  Json Body = Json::parse(Response.value(), nullptr, false);
  if (!Body.is_object())
    return reportError({ResultCode::Internal, "malformed response", {}, {}});
  std::cout << (m_Arguments.JsonOutput ? Body.dump(2) + "\n" : Table(Body));
  return ExitCode::Done;
}

static std::string recordText(const Json &Record) {
  return Record.value("text", "") + "\n";
}

ExitCode Runner::execute(const Get &Requested) {
  return show("records/" + Requested.Kind + "/" + Requested.Name, recordText);
}

ExitCode Runner::execute(const List &Requested) {
  return show(Requested.Kind.empty() ? "records" : "records/" + Requested.Kind,
              recordTable);
}

/// Shows the view of every entry, since each is connected to only some of the
/// agents.
ExitCode Runner::execute(const Status &) {
  Json Responses = Json::array();
  ExitCode Code = ExitCode::Unavailable;
  for (const auto &[Entry, Running, Body] :
       m_Client.readAll(Prefix + "status")) {
    Json Response = Body ? Json::parse(Body.value(), nullptr, false) : Json();
    if (!Response.is_object()) {
      std::cerr << Entry.toString()
                << (Running ? " did not respond\n" : " is not running\n");
      continue;
    }
    Code = ExitCode::Done;
    if (!m_Arguments.JsonOutput)
      std::cout << statusTable(Response) << '\n';
    Responses.push_back(std::move(Response));
  }
  if (m_Arguments.JsonOutput)
    std::cout << Responses.dump(2) << '\n';
  return Code;
}

ExitCode Runner::execute(const Watch &Requested) {
  std::vector<std::string> PreviousLines;
  for (unsigned Round = 0; Requested.Rounds == 0 || Round < Requested.Rounds;
       ++Round) {
    if (Round > 0)
      std::this_thread::sleep_for(Requested.Interval);
    std::vector<std::string> CurrentLines;
    for (const auto &[Entry, Running, Body] :
         m_Client.readAll(Prefix + "status")) {
      Json Response = Body ? Json::parse(Body.value(), nullptr, false) : Json();
      if (!Response.is_object())
        CurrentLines.push_back("entry " + Entry.toString() +
                               " did not respond");
      else
        for (std::string &Line : statusLines(Response))
          CurrentLines.push_back(Entry.toString() + ": " + std::move(Line));
    }
    for (const std::string &Line : CurrentLines)
      if (std::find(PreviousLines.begin(), PreviousLines.end(), Line) ==
          PreviousLines.end())
        std::cout << Line << std::endl;
    PreviousLines = std::move(CurrentLines);
  }
  return ExitCode::Done;
}

/// Queries every entry, since only the one that served a request has its
/// events.
ExitCode Runner::execute(const Explain &Requested) {
  ExitCode Code = ExitCode::Unavailable;
  Json Responses = Json::array();
  for (const auto &[Entry, Running, Body] :
       m_Client.readAll(Prefix + "explain/" + Requested.Id)) {
    Json Response = Body ? Json::parse(Body.value(), nullptr, false) : Json();
    if (!Response.is_object())
      continue;
    Code = ExitCode::Done;
    if (!m_Arguments.JsonOutput)
      std::cout << "entry " << Entry.toString() << ":\n"
                << explanationText(Response);
    Responses.push_back(std::move(Response));
  }
  if (m_Arguments.JsonOutput)
    std::cout << Responses.dump(2) << '\n';
  return Code;
}

ExitCode Runner::execute(const Print &Requested) {
  std::cout << Requested.Text;
  return ExitCode::Done;
}

} // namespace figlift::control
