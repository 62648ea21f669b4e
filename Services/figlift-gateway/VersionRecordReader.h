//===- VersionRecordReader.h - Reads the record of versions -----*- C++ -*-===//
//
// What a request needs of the record of software versions in the store.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <functional>

namespace figlift::gateway {

class VersionRecordReader {
public:
  virtual ~VersionRecordReader() = default;

  /// Calls \p Done once a read that was sent after this call has ended, or at
  /// once if the store is not asked because a read has just failed. Whether
  /// the record was read is then found in VersionHistory.
  virtual void readAgain(std::function<void()> Done) = 0;
};

} // namespace figlift::gateway
