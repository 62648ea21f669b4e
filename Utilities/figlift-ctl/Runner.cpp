//===- Runner.cpp - Carries a command out ---------------------------------===//
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

Runner::Runner(Arguments Given)
    : m_Given(std::move(Given)), m_Client({m_Given.Entries, m_Given.Timeout}) {}

ExitCode Runner::run() {
  return std::visit([this](const auto &Wanted) { return on(Wanted); },
                    m_Given.What);
}

ExitCode Runner::complain(const Error &Why) const {
  std::cerr << "figlift-ctl: " << resultCodeInfo(Why.Code).Name << " ("
            << static_cast<int>(Why.Code) << "): ";
  if (!Why.Field.empty())
    std::cerr << Why.Field << ": ";
  std::cerr << Why.Message << '\n';
  return exitCodeOf(Why.Code);
}

std::string Runner::withOperation(std::string Path) const {
  Path += "?operationId=" + m_Given.OperationId;
  if (m_Given.IfVersion)
    Path += "&ifVersion=" + std::to_string(*m_Given.IfVersion);
  return Path;
}

static std::optional<std::string> contentOf(const std::string &File) {
  if (File == "-")
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  std::ifstream Stream(File, std::ios::binary);
  if (!Stream)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(Stream), {});
}

ExitCode Runner::on(const Apply &Wanted) {
  Json Body = {{"operationId", m_Given.OperationId},
               {"records", Json::array()}};
  if (m_Given.IfVersion)
    Body["ifVersion"] = *m_Given.IfVersion;
  for (const std::string &File : Wanted.Files) {
    auto Text = contentOf(File);
    if (!Text) {
      std::cerr << "figlift-ctl: " << File << " can't be read\n";
      return ExitCode::Usage;
    }
    Body["records"].push_back(*Text);
  }
  return write(HttpMethod::Post, Prefix + "records",
               Body.dump(-1, ' ', false, Json::error_handler_t::replace), "");
}

ExitCode Runner::on(const Withdraw &Wanted) {
  return write(
      HttpMethod::Delete,
      withOperation(Prefix + "records/" + Wanted.Kind + "/" + Wanted.Name), "",
      "");
}

ExitCode Runner::on(const ChangeTarget &Wanted) {
  static constexpr const char *Verbs[] = {"drain", "undrain", "retire"};
  std::string Path = Prefix + "targets/" + Wanted.Target + "/" +
                     Verbs[static_cast<int>(Wanted.Wanted)];
  bool Drains = Wanted.Wanted != Wish::Undrain;
  return write(HttpMethod::Post, withOperation(Path), "",
               Drains ? Wanted.Target : "");
}

/// \p Draining: the target that has to drain before a wait ends, or empty.
ExitCode Runner::write(HttpMethod Verb, const std::string &Path,
                       const std::string &Body, const std::string &Draining) {
  auto Answer = m_Client.write(Verb, Path, Body);
  if (!Answer) {
    ExitCode Code = complain(Answer.error());
    if (Code == ExitCode::OutcomeUnknown)
      std::cerr << "settle it by the same command with --operation "
                << m_Given.OperationId << '\n';
    return Code;
  }
  Json Outcome = Json::parse(Answer.value(), nullptr, false);
  if (!Outcome.is_object() || !Outcome.contains("revision"))
    return complain({ResultCode::Internal, "malformed answer", {}, {}});
  std::cout << (m_Given.JsonOutput ? Outcome.dump(2) + "\n"
                                   : outcomeTable(Outcome))
            << std::flush;
  if (!m_Given.Wait)
    return ExitCode::Done;
  return waitUntilInForce(Outcome["revision"].get<uint64_t>(), Draining);
}

ExitCode Runner::waitUntilInForce(uint64_t Revision,
                                  const std::string &Draining) {
  auto Until = std::chrono::steady_clock::now() + *m_Given.Wait;
  while (true) {
    auto Answers = m_Client.readAll(Prefix + "status");
    auto Found = config::rolloutStatus(Answers, Revision);
    bool Drained = Draining.empty() || config::isDrained(Answers, Draining);
    if (Found.complete() && Drained) {
      std::cerr << "revision " << Revision << " is in force in "
                << Found.InForce << " processes\n";
      return ExitCode::Done;
    }
    if (std::chrono::steady_clock::now() >= Until) {
      for (const std::string &Line : Found.Lagging)
        std::cerr << "lags: " << Line << '\n';
      if (!Drained)
        std::cerr << "still drains: target " << Draining << '\n';
      return complain({ResultCode::WaitTimedOut,
                       "revision " + std::to_string(Revision) +
                           " is committed, the wait is over",
                       {},
                       {}});
    }
    std::this_thread::sleep_for(WaitInterval);
  }
}

ExitCode Runner::show(const std::string &Path,
                      std::string (*Table)(const Json &)) {
  auto Answer = m_Client.read(Prefix + Path);
  if (!Answer)
    return complain(Answer.error());
  Json Body = Json::parse(Answer.value(), nullptr, false);
  if (!Body.is_object())
    return complain({ResultCode::Internal, "malformed answer", {}, {}});
  std::cout << (m_Given.JsonOutput ? Body.dump(2) + "\n" : Table(Body));
  return ExitCode::Done;
}

static std::string textOf(const Json &Record) {
  return Record.value("text", "") + "\n";
}

ExitCode Runner::on(const Get &Wanted) {
  return show("records/" + Wanted.Kind + "/" + Wanted.Name, textOf);
}

ExitCode Runner::on(const List &Wanted) {
  return show(Wanted.Kind.empty() ? "records" : "records/" + Wanted.Kind,
              recordTable);
}

/// Every entry's view, since each holds streams to a part of the agents only.
ExitCode Runner::on(const Status &) {
  Json All = Json::array();
  ExitCode Code = ExitCode::Unavailable;
  for (const auto &[Entry, Running, Body] :
       m_Client.readAll(Prefix + "status")) {
    Json Answer = Body ? Json::parse(Body.value(), nullptr, false) : Json();
    if (!Answer.is_object()) {
      std::cerr << Entry.toString()
                << (Running ? " gives no answer\n" : " is not running\n");
      continue;
    }
    Code = ExitCode::Done;
    if (!m_Given.JsonOutput)
      std::cout << statusTable(Answer) << '\n';
    All.push_back(std::move(Answer));
  }
  if (m_Given.JsonOutput)
    std::cout << All.dump(2) << '\n';
  return Code;
}

ExitCode Runner::on(const Watch &Wanted) {
  std::vector<std::string> Before;
  for (unsigned Round = 0; Wanted.Rounds == 0 || Round < Wanted.Rounds;
       ++Round) {
    if (Round > 0)
      std::this_thread::sleep_for(Wanted.Interval);
    std::vector<std::string> Now;
    for (const auto &[Entry, Running, Body] :
         m_Client.readAll(Prefix + "status")) {
      Json Answer = Body ? Json::parse(Body.value(), nullptr, false) : Json();
      if (!Answer.is_object())
        Now.push_back("entry " + Entry.toString() + " gives no answer");
      else
        for (std::string &Line : statusLines(Answer))
          Now.push_back(Entry.toString() + ": " + std::move(Line));
    }
    for (const std::string &Line : Now)
      if (std::find(Before.begin(), Before.end(), Line) == Before.end())
        std::cout << Line << std::endl;
    Before = std::move(Now);
  }
  return ExitCode::Done;
}

/// Every entry is asked: only the one that served a request knows of it.
ExitCode Runner::on(const Explain &Wanted) {
  ExitCode Code = ExitCode::Unavailable;
  Json All = Json::array();
  for (const auto &[Entry, Running, Body] :
       m_Client.readAll(Prefix + "explain/" + Wanted.Id)) {
    Json Answer = Body ? Json::parse(Body.value(), nullptr, false) : Json();
    if (!Answer.is_object())
      continue;
    Code = ExitCode::Done;
    if (!m_Given.JsonOutput)
      std::cout << "entry " << Entry.toString() << ":\n" << explanation(Answer);
    All.push_back(std::move(Answer));
  }
  if (m_Given.JsonOutput)
    std::cout << All.dump(2) << '\n';
  return Code;
}

ExitCode Runner::on(const Print &Wanted) {
  std::cout << Wanted.Text;
  return ExitCode::Done;
}

} // namespace figlift::control
