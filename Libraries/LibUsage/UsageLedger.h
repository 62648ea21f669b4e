//===- UsageLedger.h - Usage sums of the fleet ------------------*- C++ -*-===//
//
// Collects the sums of all gateways. The sums of a gateway that was killed
// stay.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibUsage/UsageUpdate.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace figlift::usage {

class UsageLedger {
public:
  void apply(const UsageUpdate &Update);
  void forgetThrough(WindowNumber Window);

  /// Whether each of \p Senders has sent its final sum for \p Window.
  bool isComplete(WindowNumber Window,
                  const std::vector<std::string> &Senders) const;
  /// Sum over all gateways; without tenants that have no requests.
  Counts totals(WindowNumber Window) const;

private:
  /// Name and incarnation of a gateway.
  using Sender = std::pair<std::string, uint64_t>;
  struct Entry {
    bool Final = false;
    Counts Requests;
  };

  std::map<WindowNumber, std::map<Sender, Entry>> m_Windows;
  WindowNumber m_Forgotten = 0;
};

} // namespace figlift::usage
