//===- UsageMeter.h - Requests that one gateway counts ----------*- C++ -*-===//
//
// Counts the requests of each tenant that servers began to execute, by window.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibUsage/Window.h"

#include <string>
#include <vector>

namespace figlift::usage {

/// Running sum of one gateway for one window; it only grows, apart from
/// requests that turn out not to have been executed.
struct WindowSum {
  WindowNumber Window = 0;
  /// The sum does not change any more.
  bool Final = false;
  Counts Requests;
};

class UsageMeter {
public:
  explicit UsageMeter(std::chrono::milliseconds WindowLength)
      : m_Length(WindowLength) {}

  /// A server began to execute a request of \p Tenant. Returns the window that
  /// it counts in.
  WindowNumber recordStart(const std::string &Tenant, WallTime Now);
  /// The server did not execute that request after all.
  void undoStart(const std::string &Tenant, WindowNumber Window);
  /// Sums of the windows up to \p Window are not needed any more.
  void forgetThrough(WindowNumber Window);
  /// The sums to send to the process that reports usage, oldest first. Windows
  /// without requests are included once they are final.
  std::vector<WindowSum> sums(WallTime Now);

private:
  const std::chrono::milliseconds m_Length;
  std::map<WindowNumber, Counts> m_Windows;
  /// Windows up to this one are not kept.
  WindowNumber m_Forgotten = 0;
};

} // namespace figlift::usage
