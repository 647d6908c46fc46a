#ifndef ENDIVECART_DIAGNOSIS_DIAGNOSIS_H_
#define ENDIVECART_DIAGNOSIS_DIAGNOSIS_H_

// Public header of the diagnosis library: what logs tell of one request.

#include "endivecart/diagnosis/request_story.h"  // IWYU pragma: export

#endif  // ENDIVECART_DIAGNOSIS_DIAGNOSIS_H_
