//===- Main.cpp - figlift-ctl ---------------------------------------------===//
//
// Command line tool for operators: submits, changes and withdraws records,
// drains and retires targets, and shows status.
//
//===----------------------------------------------------------------------===//

#include "CommandLine.h"
#include "Runner.h"

#include <pplx/threadpool.h>

#include <exception>
#include <iostream>

using namespace figlift::control;

static constexpr int PoolThreads = 4;

int main(int Count, char **Values) {
  crossplat::threadpool::initialize_with_threads(PoolThreads);
  auto Parsed = parseCommandLine(Count, Values);
  if (!Parsed) {
    std::cerr << "figlift-ctl: ";
    if (!Parsed.error().Field.empty())
      std::cerr << "--" << Parsed.error().Field << ": ";
    std::cerr << Parsed.error().Message << '\n';
    return static_cast<int>(ExitCode::Usage);
  }
  try {
    return static_cast<int>(Runner(Parsed.value()).run());
  } catch (const std::exception &Exception) {
    std::cerr << "figlift-ctl: unexpected response: " << Exception.what()
              << '\n';
    return static_cast<int>(ExitCode::Unavailable);
  }
}
