//===- Runner.h - Carries a command out -------------------------*- C++ -*-===//
//
// One function for each command; each ends with an exit code.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "CommandLine.h"
#include "LibConfig/OperatorClient.h"
#include "Tables.h"

namespace figlift::control {

/// Exit status of figlift-ctl; part of its interface.
enum class ExitCode {
  Done = 0,
  Usage = 2,
  Refused = 3,
  Conflict = 4,
  Unavailable = 5,
  WaitTimedOut = 6,
  OutcomeUnknown = 7,
};

ExitCode exitCodeOf(ResultCode Code);

class Runner {
public:
  explicit Runner(Arguments Given);

  ExitCode run();

private:
  ExitCode on(const Apply &Wanted);
  ExitCode on(const Get &Wanted);
  ExitCode on(const List &Wanted);
  ExitCode on(const Withdraw &Wanted);
  ExitCode on(const ChangeTarget &Wanted);
  ExitCode on(const Status &);
  ExitCode on(const Watch &Wanted);
  ExitCode on(const Explain &Wanted);
  ExitCode on(const Print &Wanted);

  ExitCode write(platform::HttpMethod Verb, const std::string &Path,
                 const std::string &Body, const std::string &Draining);
  ExitCode show(const std::string &Path, std::string (*Table)(const Json &));
  ExitCode waitUntilInForce(uint64_t Revision, const std::string &Draining);
  ExitCode complain(const Error &Why) const;
  std::string withOperation(std::string Path) const;

  const Arguments m_Given;
  config::OperatorClient m_Client;
};

} // namespace figlift::control
