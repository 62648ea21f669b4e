//===- FrameSender.h - Sends the frames of an answer ------------*- C++ -*-===//
//
// Adds the ids of the attempt, the configuration revision in force and the
// clock to every frame, and the target's load to the first and the last frame.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "AttemptStream.h"
#include "Context.h"
#include "StreamWriter.h"

#include "LibCore/Result.h"

#include <functional>

namespace figlift::agent {

class FrameSender {
public:
  struct Sources {
    std::function<wire::Load()> CurrentLoad;
    std::function<uint64_t()> CurrentRevision;
  };

  FrameSender(Context Shared, StreamWriter &Writer, Sources Inputs)
      : m_Shared(Shared), m_Writer(Writer), m_Sources(std::move(Inputs)) {}

  /// Sends a frame that is not the last one of its answer.
  void send(const AttemptStream &To, wire::RunFrame Frame,
            bool WithLoad = false);
  /// Sends the last frame and ends the stream.
  void finish(const AttemptStream &To, wire::RunFrame Frame);
  /// Ends the stream with a Refusal if resultCodeInfo() says that the request
  /// was not run, else with a Failure.
  void finish(const AttemptStream &To, Error Reason,
              uint32_t TokensProduced = 0);
  /// Resets the stream.
  void dismiss(const AttemptStream &To) { m_Writer.cancel(To.Stream); }

private:
  Context m_Shared;
  StreamWriter &m_Writer;
  Sources m_Sources;
};

} // namespace figlift::agent
