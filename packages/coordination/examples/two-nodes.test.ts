import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { runExample } from './two-nodes'

// Guards against an example whose output differs from the README.
test('one of two candidates owns the job, and one of two conflicting changes is accepted', () => {
  assert.equal(runExample(), [
    'a: the owner is a with fencing number 0',
    'b: the owner is a with fencing number 0',
    'change first: accepted',
    'change second: conflict',
    'limit is 10 at revision 0'
  ])
})

test.run()
