//===- BrokenOffAnswer.h - An answer that is not read to its end -*- C++
//-*-===//
//
// Counts and logs which bound a server's answer has exceeded. To the rest of
// the gateway the connection is lost.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace figlift::gateway {

struct BrokenOffAnswer {
  static constexpr std::string_view TooLong = "longer than any answer";
  static constexpr std::string_view NoMemory = "no memory left";

  /// Empty for the answer to a call of the gateway itself.
  std::string AttemptId;
  /// Id of the server, or its address in a call.
  std::string Target;
  std::string_view Reason;
  /// 0 before the head is complete.
  unsigned Status = 0;
  /// Received so far.
  size_t BodyBytes = 0;
};

void recordBrokenOff(Context &Shared, const BrokenOffAnswer &Answer);

} // namespace figlift::gateway
