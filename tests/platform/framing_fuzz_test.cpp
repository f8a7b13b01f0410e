#include "platform/answer_reader.hpp"
#include "platform/line_codec.hpp"
#include "platform/line_stream.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <string>
#include <vector>

#include "criterion_test.hpp"

using namespace redwinggw;
using namespace redwinggw::platform;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Draws lines and the pieces in which they arrive.
struct draw {
  std::mt19937_64 Random;

  std::size_t below(std::size_t Limit) {
    return std::uniform_int_distribution<std::size_t>(0, Limit - 1)(Random);
  }
  std::string text(std::size_t Parts);
  std::string answerLine();
};

/// Any bytes, those of the protocol more often; never the end of a line.
std::string draw::text(std::size_t Parts) {
  constexpr std::array Words = std::to_array<std::string_view>(
      {"\n", "\r", "\r\r", "\n\n", " ", "QUERY 1 READ x", "START a b", "BYE",
       "ROW ", "DONE -", "ERROR BUSY", "READY I -", "AFTER 3.1 ", "-", "3.12"});
  std::string Text;
  for (std::size_t Part = 0; Part < Parts; ++Part) {
    if (below(2) == 0)
      Text += Words[below(Words.size())];
    else
      Text += static_cast<char>(below(256));
  }
  for (std::size_t At = Text.find(EndOfLine); At != std::string::npos;
       At = Text.find(EndOfLine))
    Text.erase(At, 1);
  return Text;
}

std::string draw::answerLine() {
  constexpr std::array Words = std::to_array<std::string_view>(
      {"ROW ", "DONE 7.1", "DONE -", "DONE", "ERROR BUSY x", "ERROR",
       "READY I -", "READY T 3.1", "READY E x", "READY", "ROW", "BYE"});
  std::string Line(Words[below(Words.size())]);
  return below(4) == 0 ? Line + text(1 + below(3)) : Line;
}

/// Sends \p Bytes in pieces, then closes.
base::task<void> sendInPieces(tcp::socket Socket, std::string Bytes,
                              std::uint64_t Seed) {
  draw Draw{std::mt19937_64(Seed)};
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const std::size_t Most = Draw.below(8) == 0 ? Bytes.size() : 40;
    const std::size_t Size =
        std::min(Bytes.size() - Sent, 1 + Draw.below(Most));
    const auto Piece = asio::buffer(Bytes.data() + Sent, Size);
    co_await asio::async_write(Socket, Piece, asio::use_awaitable);
    Sent += Size;
  }
}

struct received_lines {
  std::vector<std::string> Lines;
  bool TooLong = false;
};

base::task<void> receiveAll(tcp::socket Socket, received_lines &Received) {
  line_stream Stream(std::move(Socket));
  while (const auto Line = co_await Stream.next())
    Received.Lines.emplace_back(*Line);
  Received.TooLong = Stream.tooLong();
}

received_lines receive(const std::string &Bytes, std::uint64_t Seed) {
  asio::io_context Context;
  tcp::acceptor Acceptor(Context,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  tcp::socket Sender(Context);
  Sender.connect(Acceptor.local_endpoint());
  tcp::socket Receiver = Acceptor.accept();
  received_lines Received;
  asio::co_spawn(Context, sendInPieces(std::move(Sender), Bytes, Seed),
                 asio::detached);
  asio::co_spawn(Context, receiveAll(std::move(Receiver), Received),
                 asio::detached);
  Context.run();
  return Received;
}

std::string lineOf(std::string_view Start, const std::string &Text) {
  return std::string(Start) + Text + std::string(EndOfLine);
}

} // namespace

// A line ends where the sender ended it, whatever it holds and however it is
// cut on the way.
Test(framing_fuzz, finds_the_lines_that_were_sent) {
  constexpr std::uint64_t Seeds = 3000;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    draw Draw{std::mt19937_64(Seed)};
    std::vector<std::string> Lines(1 + Draw.below(40));
    std::string Bytes;
    for (std::string &Line : Lines) {
      Line = Draw.text(Draw.below(20));
      Bytes += lineOf(Line, "");
    }
    // A line without an end is none.
    Bytes += Draw.text(Draw.below(5));
    if (Bytes.ends_with('\n'))
      Bytes += "x";
    cr_assert(receive(Bytes, Seed).Lines == Lines, "seed %zu",
              static_cast<std::size_t>(Seed));
  }
}

// How a message arrives must not decide whether it is too long.
Test(framing_fuzz, refuses_messages_that_are_too_long) {
  constexpr std::uint64_t Seeds = 4;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const std::string Longest(MaxMessage, '\n');
    const auto Whole = receive(lineOf(Longest, "") + lineOf("a", ""), Seed);
    cr_assert(!Whole.TooLong && Whole.Lines.size() == 2);
    const auto Over = receive(lineOf(Longest, "x") + lineOf("a", ""), Seed);
    cr_assert(Over.TooLong && Over.Lines.empty());
    cr_assert(receive(Longest + "xx", Seed).TooLong);
  }
}

// What a caller sends arrives at the database with the same id and text.
Test(framing_fuzz, passes_statements_on_unchanged) {
  constexpr std::uint64_t Seeds = 200'000;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    draw Draw{std::mt19937_64(Seed)};
    const std::string Fields = Draw.text(1 + Draw.below(12));
    const session::statement Read = readStatement(Fields);
    std::string Bytes;
    if (Read.Id.empty()) {
      cr_assert(Read.Kind == session::statement_kind::Malformed);
      continue;
    }
    appendQuery(Bytes, Read.Id, Read.Text);
    const bool HasText = Fields.find(' ') != std::string::npos;
    const std::string Expected = HasText ? Fields : Fields + " ";
    cr_assert(Bytes == lineOf("QUERY ", Expected));
  }
}

// Rows and signatures arrive at the caller as the database sent them, and
// nothing else makes an answer.
Test(framing_fuzz, passes_answers_on_unchanged) {
  constexpr std::uint64_t Seeds = 200'000;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    draw Draw{std::mt19937_64(Seed)};
    session::answer Answer;
    Answer.Rows.resize(Draw.below(4));
    for (std::string &Row : Answer.Rows)
      Row = Draw.text(Draw.below(8));
    Answer.Signature = "s" + Draw.text(Draw.below(8));
    std::erase_if(Answer.Signature, [](char Byte) {
      return std::string_view(" \r\n").find(Byte) != std::string_view::npos;
    });
    std::string Bytes;
    appendAnswer(Bytes, Answer);
    answer_reader Reader;
    bool Goes = true;
    std::string_view Left = Bytes;
    while (Goes) {
      const std::size_t End = Left.find(EndOfLine);
      cr_assert(End != std::string_view::npos);
      Goes = takeLine(Reader, Left.substr(0, End));
      Left.remove_prefix(End + EndOfLine.size());
    }
    cr_assert(Reader.Fault == session::answer_fault::None && Left.empty());
    cr_assert(Reader.Answer.Rows == Answer.Rows);
    cr_assert(Reader.Answer.Signature == Answer.Signature);
  }
}

Test(framing_fuzz, takes_only_whole_answers) {
  constexpr std::uint64_t Seeds = 500'000;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    draw Draw{std::mt19937_64(Seed)};
    answer_reader Reader;
    // The letter of each line's keyword, in order.
    std::string Kinds;
    bool Goes = true;
    while (Goes) {
      const std::string Line = Draw.answerLine();
      const std::string Word = Line.substr(0, Line.find(' '));
      if (Word != "READY" || !Kinds.empty())
        Kinds += Word == "READY" ? '.' : Word.front();
      Goes = takeLine(Reader, Line);
    }
    if (Reader.Fault != session::answer_fault::None)
      continue;
    const std::size_t End = Kinds.find_first_not_of('R');
    cr_assert(End + 2 == Kinds.size() && Kinds.back() == '.');
    cr_assert(Kinds[End] == (Reader.Answer.Error ? 'E' : 'D'));
    cr_assert(Reader.Answer.Rows.size() == End);
  }
}
