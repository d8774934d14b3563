/** \file
 * Defines Outcome, which holds a value or the reason of a failure.
 */
#pragma once

#include "dogwooddrum/base/Reason.h"

#include <optional>
#include <string>
#include <utility>

namespace dogwooddrum::base {

/** Reason of a failure, with a message that names the invalid value. */
struct Failure
{
  Reason mReason = Reason::None;
  std::string mMessage;
};

/**
 * A value or a failure. Thread safety: as for the value.
 */
template<typename T>
class Outcome
{
public:
  Outcome(T aValue)
    : mValue(std::move(aValue))
  {
  }
  Outcome(Failure aFailure)
    : mFailure(std::move(aFailure))
  {
  }

  /** Returns whether there is a value. */
  explicit operator bool() const { return mValue.has_value(); }
  /** Returns the value. Precondition: there is one. */
  T& operator*() { return *mValue; }
  const T& operator*() const { return *mValue; }
  T* operator->() { return &*mValue; }
  const T* operator->() const { return &*mValue; }
  /** Returns the value as an optional. */
  const std::optional<T>& Value() const { return mValue; }
  /** Returns the failure; its reason is None if there is a value. */
  const Failure& LastFailure() const { return mFailure; }

private:
  std::optional<T> mValue;
  Failure mFailure;
};

} // namespace dogwooddrum::base
