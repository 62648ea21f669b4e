//===- Answering.h - Sends frames with what rides on them -------*- C++ -*-===//
//
// Every frame carries the ids, the revision in force and the clock; the first
// and the last ones also the target's load.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Context.h"
#include "Reader.h"
#include "Replies.h"

#include "LibCore/Result.h"

#include <functional>

namespace figlift::agent {

class Answering {
public:
  struct Sources {
    std::function<wire::Load()> Load;
    std::function<uint64_t()> Revision;
  };

  Answering(Context Shared, Replies &Back, Sources From)
      : m_Shared(Shared), m_Back(Back), m_From(std::move(From)) {}

  /// Sends one frame of an answer that goes on.
  void send(const Reader &To, wire::RunFrame Frame, bool WithLoad = false);
  /// Sends the last frame and ends the stream.
  void finish(const Reader &To, wire::RunFrame Frame);
  /// Ends the stream with a Refusal or Failure, by the row of the code.
  void finish(const Reader &To, Error Reason, uint32_t TokensProduced = 0);
  void dismiss(const Reader &To) { m_Back.cancel(To.Stream); }

private:
  Context m_Shared;
  Replies &m_Back;
  Sources m_From;
};

} // namespace figlift::agent
