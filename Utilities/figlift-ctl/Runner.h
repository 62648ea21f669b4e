//===- Runner.h - Executes a command ----------------------------*- C++ -*-===//
//
// One function per command; each returns an exit code.
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
  explicit Runner(Arguments Options);

  ExitCode run();

private:
  ExitCode execute(const Apply &Requested);
  ExitCode execute(const Get &Requested);
  ExitCode execute(const List &Requested);
  ExitCode execute(const Withdraw &Requested);
  ExitCode execute(const ChangeTarget &Requested);
  ExitCode execute(const Status &);
  ExitCode execute(const Watch &Requested);
  ExitCode execute(const Explain &Requested);
  ExitCode execute(const Print &Requested);

  /// Sends a change and, if requested, waits until it is in force and the
  /// target \p Draining, if not empty, is drained.
  ExitCode write(platform::HttpMethod Verb, const std::string &Path,
                 const std::string &Body, const std::string &Draining);
  ExitCode show(const std::string &Path, std::string (*Table)(const Json &));
  ExitCode waitUntilActive(uint64_t Revision, const std::string &Draining);
  ExitCode reportError(const Error &Problem) const;
  std::string addOperationParameters(std::string Path) const;

  const Arguments m_Arguments;
  config::OperatorClient m_Client;
};

} // namespace figlift::control
