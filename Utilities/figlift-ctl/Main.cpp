//===- Main.cpp - figlift-ctl ---------------------------------------------===//
//
// The operator's tool: submits, changes and withdraws records, drains and
// retires targets, and shows status.
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
  auto Given = parseCommandLine(Count, Values);
  if (!Given) {
    std::cerr << "figlift-ctl: ";
    if (!Given.error().Field.empty())
      std::cerr << "--" << Given.error().Field << ": ";
    std::cerr << Given.error().Message << '\n';
    return static_cast<int>(ExitCode::Usage);
  }
  try {
    return static_cast<int>(Runner(Given.value()).run());
  } catch (const std::exception &Exception) {
    std::cerr << "figlift-ctl: unexpected answer: " << Exception.what() << '\n';
    return static_cast<int>(ExitCode::Unavailable);
  }
}
