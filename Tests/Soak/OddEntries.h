//===- OddEntries.h - Rows of other writers in the store --------*- C++ -*-===//
//
// Writes odd rows among the servers and into the tables of the gateways, and
// removes them again: values that no decoder takes, well-formed servers at
// whose address nobody listens, and keys of odd bytes. All faults and promises
// stay as they are: no gateway may end, and callers are served.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "FigliftGateway/StandInStore.h"
#include "LibCore/Clock.h"

#include <random>
#include <string>

namespace figlift::soak {

class OddEntries {
public:
  OddEntries(testing::StandInStore &Store, uint64_t Seed)
      : m_Store(Store), m_Random(Seed) {}

  /// Called about every 50 ms; writes or removes a few rows.
  void tick(BootTime Now);

private:
  unsigned draw(unsigned Count) {
    return static_cast<unsigned>(m_Random() % Count);
  }
  std::string key();
  std::string value();
  std::string deepValue();
  std::string serverEntry();

  testing::StandInStore &m_Store;
  /// Not shared with the faults, whose choices stay as they are.
  std::mt19937_64 m_Random;
  BootTime m_NextWrite{};
};

} // namespace figlift::soak
