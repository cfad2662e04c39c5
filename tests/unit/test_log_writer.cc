#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <fstream>
#include <sstream>

#include "tasks/log_writer.h"

namespace gorsevalve {
namespace {

std::string format_dropped(const DroppedLines& dropped) {
  return "dropped " + std::to_string(dropped[0]) + " " + std::to_string(dropped[1]) + "\n";
}

/// A reader with a limited capacity.
struct Reader {
  std::string text;
  std::size_t capacity = ~std::size_t{0};
  LogWriter writer{[this](std::string_view part) {
                     const std::size_t accepted = std::min(capacity, part.size());
                     text += part.substr(0, accepted);
                     capacity -= accepted;
                     return accepted;
                   },
                   format_dropped};
};

const std::string kLine = std::string(999, 'x') + "\n";

}  // namespace

TEST_SUITE("log_writer") {
  TEST_CASE(
      "with a stopped reader routine lines are dropped first, and their number is reported later") {
    Reader reader;
    reader.capacity = 10;
    for (int i = 0; i < 1000; ++i) {
      reader.writer.offer(kLine, LogClass::kRoutine);
    }
    for (int i = 0; i < 20; ++i) {
      reader.writer.offer("state " + std::to_string(i) + "\n", LogClass::kState);
    }
    CHECK(reader.writer.queued_bytes() <= LogWriter::kMaxQueuedBytes);
    CHECK(reader.writer.dropped()[0] > 700);
    CHECK(reader.writer.dropped()[1] == 0);
    reader.capacity = ~std::size_t{0};
    reader.writer.flush();
    CHECK(reader.text.find("state 0\n") != std::string::npos);
    CHECK(reader.text.find("state 19\n") != std::string::npos);
    CHECK(reader.text.find("dropped " + std::to_string(reader.writer.dropped()[0]) + " 0\n") !=
          std::string::npos);
    // A partially written line is completed.
    CHECK(reader.text.substr(0, kLine.size()) == kLine);
  }

  TEST_CASE("state lines are dropped only if no routine lines are queued, and are counted") {
    Reader reader;
    reader.capacity = 0;
    for (int i = 0; i < 300; ++i) {
      reader.writer.offer(kLine, LogClass::kState);
    }
    CHECK(reader.writer.dropped()[1] == 300 - LogWriter::kMaxQueuedBytes / kLine.size());
  }

  TEST_CASE("a pipe without a reader does not block the writer") {
    int ends[2] = {-1, -1};
    REQUIRE(::pipe2(ends, O_NONBLOCK) == 0);
    LogWriter writer(
        [&](std::string_view part) {
          const ssize_t written = ::write(ends[1], part.data(), part.size());
          return written < 0 ? std::size_t{0} : static_cast<std::size_t>(written);
        },
        format_dropped);
    // More than the pipe and the queue hold: a blocking writer would hang.
    for (int i = 0; i < 5000; ++i) {
      writer.offer(kLine, LogClass::kRoutine);
    }
    CHECK(writer.dropped()[0] > 4000);
    ::close(ends[0]);
    ::close(ends[1]);
  }

  TEST_CASE("the catalogue is in order and docs/LOGS.md describes every event") {
    std::ifstream file(std::string(GORSEVALVE_SOURCE_DIR) + "/docs/LOGS.md");
    std::stringstream text;
    text << file.rdbuf();
    const std::string page = text.str();
    for (std::size_t i = 0; i < kLogEvents.size(); ++i) {
      const LogEventInfo& info = kLogEvents[i];
      CHECK(static_cast<std::size_t>(info.event) == i);
      const std::string row = "| `" + std::string(info.name) + "` | " +
                              (info.log_class == LogClass::kRoutine ? "routine" : "state") + " | " +
                              std::string(info.meaning) + " |";
      CHECK_MESSAGE(page.find(row) != std::string::npos, row);
    }
  }
}

}  // namespace gorsevalve
